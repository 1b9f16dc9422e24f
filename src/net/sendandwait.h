// Makes one HTTP call and waits for its end; for commands and tests, which have nothing else to do.
#pragma once

#include "net/httpclient.h"

#include <future>
#include <memory>
#include <utility>

namespace cyclamenlatch::net {

// The call's own timeout bounds the wait. Must not be called on the client's thread.
inline HttpCallResult sendAndWait(HttpClient &http, HttpCall call)
{
    // The completion may still be returning when the waiter goes on, so it shares the promise.
    auto promise = std::make_shared<std::promise<HttpCallResult>>();
    auto future = promise->get_future();
    http.send(std::move(call),
              [promise](HttpCallResult result) { promise->set_value(std::move(result)); });
    return future.get();
}

} // namespace cyclamenlatch::net
