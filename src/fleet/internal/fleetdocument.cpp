// Look-ups in the fleet document.
#include "fleet/fleetdocument.h"

#include <algorithm>

namespace cyclamenlatch::fleet {

namespace {

template<typename Item, typename ItemId>
const Item *findById(const std::vector<Item> &items, const ItemId &id)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&id](const Item &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const Queue *FleetDocument::findQueue(const QueueId &id) const
{
    return findById(queues, id);
}

const Service *FleetDocument::findService(const ServiceId &id) const
{
    return findById(services, id);
}

const Workspace *FleetDocument::findWorkspace(const WorkspaceId &id) const
{
    return findById(workspaces, id);
}

const Worker *FleetDocument::findWorker(const WorkerId &id) const
{
    return findById(workers, id);
}

} // namespace cyclamenlatch::fleet
