// The calls of the platform that list machines, move them between pools and take them down.
#pragma once

#include "global/nametable.h"
#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "scheduling/room.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::platform {

enum class MachineState { Up, Moving, Upkeep, Down };

struct Machine
{
    std::string name;
    // The service whose pool it is in.
    std::string pool;
    MachineState state = MachineState::Down;
    std::string dataCentre;
    std::vector<std::string> labels;
    scheduling::Room capacity;
    // Id of its target; empty while it has none.
    std::string target;
};

struct MachinePage
{
    std::vector<Machine> machines;
    // Empty: this is the last page.
    std::string nextPage;
};

// Who orders, for each machine by itself.
struct MachineHolder
{
    std::string name;
    std::uint64_t token = 0;
};

enum class MachineAnswer {
    Accepted,
    // A holder with a higher token has ordered.
    Fenced,
    // It is not up, or leaving.
    Busy,
    // The wave has no such machine.
    NotOfWave,
    // There is no such machine, or the pool takes no such machines.
    Invalid,
    // Nothing was done: too many calls, or the platform is unwell or was not reached.
    NotDone,
    // No answer: it may be done now, later or never.
    Unclear,
};

class MachineCalls
{
public:
    explicit MachineCalls(const std::string &address)
        : m_base("http://" + address)
    {}

    net::HttpCall list(const std::string &page) const;
    net::HttpCall move(const MachineHolder &holder, const std::string &machine,
                       const std::string &pool) const;
    net::HttpCall upkeep(const MachineHolder &holder, const std::string &machine,
                         std::uint64_t wave) const;

    static std::optional<MachinePage> judgeList(const net::HttpCallResult &result);
    static MachineAnswer judgeOrder(const net::HttpCallResult &result);

private:
    std::string m_base;
};

} // namespace cyclamenlatch::platform
