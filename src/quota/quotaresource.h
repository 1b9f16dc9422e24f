// Names one divisible right: a workspace's upper limit, or the slots of a minion.
#pragma once

#include "global/ids.h"
#include "quota/quotakind.h"

#include <compare>
#include <functional>
#include <string>

namespace cyclamenlatch::quota {

struct QuotaResource
{
    QuotaKind kind = QuotaKind::WorkspaceLimit;
    // The workspace's or the worker's id.
    std::string name;

    auto operator<=>(const QuotaResource &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(kind, name);
    }
};

inline QuotaResource limitOf(const WorkspaceId &workspace)
{
    return {QuotaKind::WorkspaceLimit, workspace.value()};
}

inline QuotaResource slotsOf(const WorkerId &worker)
{
    return {QuotaKind::MinionSlots, worker.value()};
}

} // namespace cyclamenlatch::quota

template<>
struct std::hash<cyclamenlatch::quota::QuotaResource>
{
    std::size_t operator()(const cyclamenlatch::quota::QuotaResource &resource) const noexcept
    {
        constexpr std::size_t kindSpread = 0x9e3779b97f4a7c15U;
        return std::hash<std::string>{}(resource.name)
               ^ (static_cast<std::size_t>(resource.kind) * kindSpread);
    }
};
