// Start permits for the dispatcher that acquire units of the quota table.
#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/startpermits.h"
#include "quota/quotatable.h"

#include <asio/io_context.hpp>

namespace cyclamenlatch::dispatch {

StartPermits quotaPermits(quota::QuotaTable &quotas);

// Notifies the dispatcher, on the context, when a unit that it could not acquire becomes available.
// Must be called before the permits are used.
void tellAvailable(quota::QuotaTable &quotas, asio::io_context &context, Dispatcher &dispatcher);

} // namespace cyclamenlatch::dispatch
