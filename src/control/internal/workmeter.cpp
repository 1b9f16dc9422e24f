// Formats the measured times.
#include "control/workmeter.h"

#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace cyclamenlatch::control {

namespace {

constexpr NamedValue<WorkKind> entries[] = {
        {WorkKind::Plan, "plan"},   {WorkKind::KeepAlives, "holds"}, {WorkKind::Orders, "orders"},
        {WorkKind::Jobs, "jobs"},   {WorkKind::Targets, "targets"},  {WorkKind::Flush, "flush"},
        {WorkKind::Hosts, "hosts"},
};
constexpr NameTable names{entries};

} // namespace

std::string WorkMeter::takeText()
{
    const auto work = std::exchange(m_work, {});
    std::string text;
    for (std::size_t kind = 0; kind < kinds; ++kind) {
        const std::chrono::duration<double, std::milli> time = work.at(kind).time;
        fmt::format_to(std::back_inserter(text), "{}{}={}/{:.1f}", text.empty() ? "" : " ",
                       names.name(static_cast<WorkKind>(kind)), work.at(kind).count, time.count());
    }
    return text;
}

} // namespace cyclamenlatch::control
