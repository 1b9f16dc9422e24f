// Lets the dispatcher start work only against units of the quota table.
#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/startpermits.h"
#include "quota/quotatable.h"

#include <asio/io_context.hpp>

namespace cyclamenlatch::dispatch {

StartPermits quotaPermits(quota::QuotaTable &quotas);

// Wakes the dispatcher on the context when a unit that it lacked is free. Call before use.
void tellAvailable(quota::QuotaTable &quotas, asio::io_context &context, Dispatcher &dispatcher);

} // namespace cyclamenlatch::dispatch
