// Compares limits and budgets with the workers of their pools.
#include "fleet/internal/unmeetable.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <utility>

namespace cyclamenlatch::fleet::detail {

namespace {

struct PoolSize
{
    unsigned workers = 0;
    unsigned slots = 0;
    double processors = 0;
};

class UnmeetableSearch
{
public:
    UnmeetableSearch(const FleetDocument &document, const ItemLines &lines)
        : m_document(document)
        , m_lines(lines)
    {
        for (const auto &worker : document.workers) {
            auto &pool = m_pools[worker.pool];
            ++pool.workers;
            pool.slots += worker.slots;
            pool.processors += worker.resources.processors;
        }
    }

    std::vector<Mistake> run()
    {
        checkServices();
        checkLimits();
        return std::move(m_found);
    }

private:
    void add(const std::string &section, const std::string &name, const std::string &message,
             std::string remedy)
    {
        const auto line = m_lines.find(section + "/" + name);
        m_found.push_back({line == m_lines.end() ? 0 : line->second,
                           fmt::format("{} \"{}\" {}", section, name, message), std::move(remedy)});
    }

    void checkServices()
    {
        for (const auto &service : m_document.services) {
            const auto &name = service.id.value();
            if (m_pools[service.pool].workers == 0) {
                add("services", name,
                    fmt::format("promises {}, but its pool \"{}\" has no worker", service.objective,
                                service.pool.value()),
                    "give the pool a worker");
            } else if (service.maxUnavailable == 0) {
                add("services", name,
                    fmt::format("lets no worker of \"{}\" be out, so no wave can maintain them",
                                service.pool.value()),
                    "set maxUnavailable to at least 1");
            }
        }
    }

    // Work of any workspace may go to any service; workers that are lent keep their slots.
    void checkLimits()
    {
        unsigned slots = 0;
        double processors = 0;
        for (const auto &[id, pool] : m_pools) {
            slots += pool.slots;
            processors += pool.processors;
        }
        std::set<WorkspaceId> withKeys;
        for (const auto &key : m_document.keys) {
            withKeys.insert(key.workspace);
        }
        for (const auto &workspace : m_document.workspaces) {
            const auto &name = workspace.id.value();
            if (workspace.limit == 0 && withKeys.contains(workspace.id)) {
                add("workspaces", name, "has keys, but its limit lets nothing run",
                    "raise the limit, or withdraw the keys");
            }
            // Jobs take processors and not slots, so that they may come above.
            if (workspace.limit > slots && processors == 0) {
                add("workspaces", name,
                    fmt::format("may run {} at once, but all workers have {} slots",
                                workspace.limit, slots),
                    fmt::format("lower the limit to {}, or add workers", slots));
            }
        }
    }

    const FleetDocument &m_document;
    const ItemLines &m_lines;
    std::map<PoolId, PoolSize> m_pools;
    std::vector<Mistake> m_found;
};

} // namespace

std::vector<Mistake> findUnmeetable(const FleetDocument &document, const ItemLines &lines)
{
    return UnmeetableSearch(document, lines).run();
}

} // namespace cyclamenlatch::fleet::detail
