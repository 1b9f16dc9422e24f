// Look-ups in the fleet document.
#include "fleet/fleetdocument.h"

#include <algorithm>
#include <unordered_map>

namespace cyclamenlatch::fleet {

namespace detail {

template<typename ItemId>
using Positions = std::unordered_map<ItemId, std::size_t>;

struct FleetIndex
{
    Positions<PoolId> pools;
    Positions<WorkerId> workers;
    Positions<ServiceId> services;
    Positions<QueueId> queues;
    Positions<WorkspaceId> workspaces;
    Positions<KeyId> keys;
};

} // namespace detail

namespace {

template<typename Item, typename ItemId>
void indexItems(const std::vector<Item> &items, detail::Positions<ItemId> &positions)
{
    positions.reserve(items.size());
    for (std::size_t index = 0; index < items.size(); ++index) {
        positions.emplace(items[index].id, index);
    }
}

template<typename Item, typename ItemId>
const Item *findById(const std::vector<Item> &items, const ItemId &id,
                     const detail::FleetIndex *index,
                     detail::Positions<ItemId> detail::FleetIndex::*positions)
{
    if (index != nullptr) {
        const auto &known = index->*positions;
        const auto found = known.find(id);
        if (found != known.end() && found->second < items.size() && items[found->second].id == id) {
            return &items[found->second];
        }
    }
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&id](const Item &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

void FleetDocument::buildIndex()
{
    auto index = std::make_shared<detail::FleetIndex>();
    indexItems(pools, index->pools);
    indexItems(workers, index->workers);
    indexItems(services, index->services);
    indexItems(queues, index->queues);
    indexItems(workspaces, index->workspaces);
    indexItems(keys, index->keys);
    indexHolder.index = std::move(index);
}

const Pool *FleetDocument::findPool(const PoolId &id) const
{
    return findById(pools, id, indexHolder.index.get(), &detail::FleetIndex::pools);
}

const Queue *FleetDocument::findQueue(const QueueId &id) const
{
    return findById(queues, id, indexHolder.index.get(), &detail::FleetIndex::queues);
}

const Service *FleetDocument::findService(const ServiceId &id) const
{
    return findById(services, id, indexHolder.index.get(), &detail::FleetIndex::services);
}

const Workspace *FleetDocument::findWorkspace(const WorkspaceId &id) const
{
    return findById(workspaces, id, indexHolder.index.get(), &detail::FleetIndex::workspaces);
}

const Worker *FleetDocument::findWorker(const WorkerId &id) const
{
    return findById(workers, id, indexHolder.index.get(), &detail::FleetIndex::workers);
}

const Key *FleetDocument::findKey(const KeyId &id) const
{
    return findById(keys, id, indexHolder.index.get(), &detail::FleetIndex::keys);
}

} // namespace cyclamenlatch::fleet
