// Paths and formats of the platform's machines.
#include "platform/machinecalls.h"

#include "platform/internal/jsonfields.h"

#include <fmt/format.h>

#include <utility>

namespace cyclamenlatch::platform {

namespace {

net::HttpCall orderCall(const std::string &url, const MachineHolder &holder, nlohmann::json body)
{
    net::HttpCall call;
    call.method = "POST";
    call.url = url;
    call.headers.add("Content-Type", "application/json");
    call.headers.add("Cyclamenlatch-Lease-Holder", holder.name);
    call.headers.add("Cyclamenlatch-Fencing-Token", std::to_string(holder.token));
    call.body = body.dump();
    return call;
}

std::optional<Machine> machineOf(const nlohmann::json &json)
{
    static constexpr NamedValue<MachineState> entries[] = {{MachineState::Up, "up"},
                                                           {MachineState::Moving, "moving"},
                                                           {MachineState::Upkeep, "upkeep"},
                                                           {MachineState::Down, "down"}};
    static constexpr NameTable names{entries};
    Machine machine;
    machine.name = detail::textOf(json, "machine");
    machine.pool = detail::textOf(json, "pool");
    machine.dataCentre = detail::textOf(json, "zone");
    machine.target = detail::textOf(json, "id");
    const auto state = names.value(detail::textOf(json, "state"));
    if (machine.name.empty() || !state) {
        return std::nullopt;
    }
    machine.state = *state;
    if (const auto *labels = detail::fieldOf(json, "labels"); labels && labels->is_array()) {
        for (const auto &label : *labels) {
            if (label.is_string()) {
                machine.labels.push_back(label.get<std::string>());
            }
        }
    }
    if (const auto *capacity = detail::fieldOf(json, "capacity"); capacity != nullptr) {
        machine.capacity = {detail::numberOf(*capacity, "cpu").value_or(0),
                            detail::numberOf(*capacity, "mem_mb").value_or(0),
                            detail::numberOf(*capacity, "gpu").value_or(0)};
    }
    return machine;
}

} // namespace

net::HttpCall MachineCalls::list(const std::string &page) const
{
    net::HttpCall call;
    call.url = m_base + "/v1/machines";
    if (!page.empty()) {
        call.url += "?page_token=" + page;
    }
    return call;
}

net::HttpCall MachineCalls::move(const MachineHolder &holder, const std::string &machine,
                                 const std::string &pool) const
{
    return orderCall(m_base + "/v1/machine-move", holder, {{"machine", machine}, {"pool", pool}});
}

net::HttpCall MachineCalls::upkeep(const MachineHolder &holder, const std::string &machine,
                                   std::uint64_t wave) const
{
    return orderCall(m_base + "/v1/machine-upkeep", holder, {{"machine", machine}, {"wave", wave}});
}

std::optional<MachinePage> MachineCalls::judgeList(const net::HttpCallResult &result)
{
    if (!result.reply || result.reply->status != 200) {
        return std::nullopt;
    }
    const auto json = detail::parseJson(result.reply->body);
    const auto *machines = detail::fieldOf(json, "machines");
    if (machines == nullptr || !machines->is_array()) {
        return std::nullopt;
    }
    MachinePage page;
    for (const auto &item : *machines) {
        if (auto machine = machineOf(item)) {
            page.machines.push_back(std::move(*machine));
        }
    }
    page.nextPage = detail::textOf(json, "next_page_token");
    return page;
}

MachineAnswer MachineCalls::judgeOrder(const net::HttpCallResult &result)
{
    if (!result.reply) {
        return result.sendState == net::SendState::NotSent ? MachineAnswer::NotDone
                                                           : MachineAnswer::Unclear;
    }
    switch (result.reply->status) {
    case 200:
        return MachineAnswer::Accepted;
    case 400:
        return MachineAnswer::Invalid;
    case 409: {
        static constexpr NamedValue<MachineAnswer> entries[] = {
                {MachineAnswer::Fenced, "fence"},
                {MachineAnswer::Busy, "busy"},
                {MachineAnswer::NotOfWave, "wave"}};
        static constexpr NameTable names{entries};
        const auto reason = detail::textOf(detail::parseJson(result.reply->body), "reason");
        return names.value(reason).value_or(MachineAnswer::Busy);
    }
    case 500:
    case 502:
    case 504:
        return MachineAnswer::Unclear;
    default:
        return MachineAnswer::NotDone;
    }
}

} // namespace cyclamenlatch::platform
