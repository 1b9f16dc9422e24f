// Property of the scheduling core over drawn interleavings of restarts, cuts, late and lost calls,
// changes of owner and late records: no work is done twice, and all of it is done in the end.
#include "scheduling/tests/interleavedfleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>
#include <vector>

namespace cyclamenlatch::scheduling::tests {

namespace {

enum class Action : std::uint8_t {
    Pass,
    Restart,
    Cut,
    Heal,
    HoldBack,
    LoseAnswers,
    ChangeOwner,
    Submit,
    // Some seconds without another event.
    Quiet,
    // A target restarts while a start is on its way there, and is cut off soon after.
    RestartUnderStart,
};

// An event, and the time that passes after it. The amounts are in thousandths of their ranges.
struct Event
{
    Action action = Action::Pass;
    unsigned target = 0;
    int wait = 10;
    int first = 0;
    int second = 0;
    int third = 0;
};

std::ostream &operator<<(std::ostream &out, const Event &event)
{
    constexpr const char *names[] = {"Pass",     "Restart",          "Cut",         "Heal",
                                     "HoldBack", "LoseAnswers",      "ChangeOwner", "Submit",
                                     "Quiet",    "RestartUnderStart"};
    return out << '{' << names[static_cast<int>(event.action)] << ' ' << event.target << ' '
               << event.wait << ' ' << event.first << ' ' << event.second << ' ' << event.third
               << '}';
}

rc::Gen<int> amount(int low, int high)
{
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

rc::Gen<Event> anyEvent()
{
    return rc::gen::build<Event>(
            rc::gen::set(&Event::action,
                         rc::gen::weightedElement<Action>({{6, Action::Pass},
                                                           {3, Action::Restart},
                                                           {3, Action::Cut},
                                                           {2, Action::Heal},
                                                           {4, Action::HoldBack},
                                                           {2, Action::LoseAnswers},
                                                           {1, Action::ChangeOwner},
                                                           {3, Action::Submit},
                                                           {3, Action::Quiet},
                                                           {3, Action::RestartUnderStart}})),
            rc::gen::set(&Event::target, rc::gen::cast<unsigned>(amount(0, 3))),
            rc::gen::set(&Event::wait, amount(10, 501)),
            rc::gen::set(&Event::first, amount(0, 1001)),
            rc::gen::set(&Event::second, amount(0, 1001)),
            rc::gen::set(&Event::third, amount(0, 1001)));
}

std::chrono::milliseconds part(int thousandths, std::chrono::milliseconds whole)
{
    return whole * thousandths / 1000;
}

CallKind kindOf(int draw)
{
    return draw % 3 == 0 ? CallKind::Starts : draw % 3 == 1 ? CallKind::All : CallKind::KeepAlives;
}

void restart(InterleavedFleet &fleet, const Event &event, std::chrono::milliseconds longestDown)
{
    fleet.restart(event.target, part(event.first, longestDown), event.second % 2 == 0,
                  part(event.second, 2000ms), part(event.third, 3600s),
                  1 - 0.02 * (event.third % 5) / 4);
}

void restartUnderStart(InterleavedFleet &fleet, const Event &event)
{
    fleet.holdBack(event.target, CallKind::Starts, 2, part(event.third, 800ms));
    fleet.submit(2, {5s + part(event.second, 15s), false});
    fleet.pass(std::chrono::milliseconds(event.wait));
    restart(fleet, event, 400ms);
    fleet.pass(part(event.second, 800ms));
    fleet.setCut(event.target, true);
}

void apply(InterleavedFleet &fleet, const Event &event)
{
    switch (event.action) {
    case Action::Pass:
        break;
    case Action::Restart:
        restart(fleet, event, 1000ms);
        break;
    case Action::Cut:
        fleet.setCut(event.target, true);
        break;
    case Action::Heal:
        fleet.setCut(event.target, false);
        break;
    case Action::HoldBack:
        fleet.holdBack(event.target, kindOf(event.third),
                       1 + static_cast<unsigned>(event.second % 3), part(event.first, 6000ms));
        break;
    case Action::LoseAnswers:
        fleet.loseAnswers(event.target, kindOf(event.third),
                          1 + static_cast<unsigned>(event.second % 3));
        break;
    case Action::ChangeOwner:
        fleet.changeOwner(part(event.first, 2000ms), event.second % 2 == 0);
        break;
    case Action::Submit:
        fleet.submit(1 + static_cast<std::uint32_t>(event.second % 2),
                     {500ms + part(event.first, 19500ms), event.third % 4 == 3});
        break;
    case Action::Quiet:
        fleet.pass(part(event.first, 6000ms));
        break;
    case Action::RestartUnderStart:
        restartUnderStart(fleet, event);
        break;
    }
    fleet.pass(std::chrono::milliseconds(event.wait));
}

void checkInterleaving(const InterleavingShape &shape, const std::vector<Event> &events)
{
    InterleavedFleet fleet(shape);
    fleet.submit(2, {15s, false});
    fleet.pass(500ms);
    for (const auto &event : events) {
        apply(fleet, event);
        if (!fleet.violation().empty()) {
            break;
        }
    }
    const bool isServed = !fleet.violation().empty() || fleet.settle();
    if (!fleet.violation().empty()) {
        RC_FAIL(fleet.violation() + "\n" + fleet.trace());
    }
    if (!isServed) {
        RC_FAIL("tasks are not served\n" + fleet.trace());
    }
}

} // namespace

RC_GTEST_PROP(IncarnationInterleavings, DoNoWorkTwiceAndAllOfItInTheEnd, ())
{
    InterleavingShape shape;
    shape.targets = 2 + static_cast<unsigned>(*amount(0, 2));
    shape.hasPeerCheck = *rc::gen::arbitrary<bool>();
    shape.storeLag = 10ms + part(*amount(0, 1001), 990ms);
    checkInterleaving(shape, *rc::gen::container<std::vector<Event>>(anyEvent()));
}

} // namespace cyclamenlatch::scheduling::tests
