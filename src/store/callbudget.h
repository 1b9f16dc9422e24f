// Bounds the calls to the platform's store: a token bucket whose rate is this entry's part of its
// data centre's budget. Time is passed in.
#pragma once

#include "global/time.h"

namespace cyclamenlatch::store {

struct CallBudgetSettings
{
    // Calls per second of the whole data centre.
    double callsPerSecond = 200;
    // Calls that may be made at once after a quiet time.
    double burst = 50;
};

class CallBudget
{
public:
    explicit CallBudget(CallBudgetSettings settings);

    // Entries of the data centre that share the budget, this one included.
    void setSharers(unsigned count, TimePoint now);
    // Books one call and returns how long it has to wait; zero: it may start now.
    Duration take(TimePoint now);

private:
    double rate() const;
    void refill(TimePoint now);

    CallBudgetSettings m_settings;
    unsigned m_sharers = 1;
    // May be below zero by the calls that wait.
    double m_tokens;
    TimePoint m_refilled{};
};

} // namespace cyclamenlatch::store
