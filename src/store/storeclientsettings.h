// How an entry reaches the platform's store, and how much it asks of it.
#pragma once

#include "store/callbudget.h"

#include <chrono>
#include <string>

namespace cyclamenlatch::store {

struct StoreClientSettings
{
    // The service's address, such as "http://127.0.0.1:7000".
    std::string url;
    // Time that one call has for its answer.
    std::chrono::milliseconds callTimeout{2000};
    // Time that an operation has, its retries included.
    std::chrono::milliseconds operationTimeout{6000};
    CallBudgetSettings budget;
};

} // namespace cyclamenlatch::store
