// Implements the start permits with the quota table.
#include "dispatch/quotapermits.h"

#include <asio/post.hpp>

namespace cyclamenlatch::dispatch {

StartPermits quotaPermits(quota::QuotaTable &quotas)
{
    StartPermits permits;
    permits.acquireWorkspace = [&quotas](const WorkspaceId &workspace) {
        return quotas.tryAcquire(quota::limitOf(workspace));
    };
    permits.releaseWorkspace = [&quotas](const WorkspaceId &workspace) {
        quotas.release(quota::limitOf(workspace));
    };
    permits.acquireSlot = [&quotas](const WorkerId &worker) {
        return quotas.tryAcquire(quota::slotsOf(worker));
    };
    permits.releaseSlot = [&quotas](const WorkerId &worker) {
        quotas.release(quota::slotsOf(worker));
    };
    return permits;
}

void tellAvailable(quota::QuotaTable &quotas, asio::io_context &context, Dispatcher &dispatcher)
{
    quotas.setOnAvailable([&context, &dispatcher](const quota::QuotaResource &resource) {
        // The table may call back while the dispatcher releases a unit with its lock held, so the
        // notification is posted.
        asio::post(context, [&dispatcher, resource] {
            switch (resource.kind) {
            case quota::QuotaKind::WorkspaceLimit:
                dispatcher.workspaceAvailable(WorkspaceId(resource.name));
                return;
            case quota::QuotaKind::MinionSlots:
                dispatcher.slotAvailable(WorkerId(resource.name));
                return;
            }
        });
    });
}

} // namespace cyclamenlatch::dispatch
