// Client of the platform's key-value service. Every completion runs on the client's own thread.
// A failed write of kind Unknown may or may not have taken effect; kind Conflict did not.
#pragma once

#include "global/result.h"
#include "net/httpclient.h"
#include "platform/storeitem.h"
#include "platform/storewrite.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace cyclamenlatch::platform {

class StoreClient
{
public:
    using GetCompletion = std::function<void(Result<std::optional<StoreItem>>)>;
    using ListCompletion = std::function<void(Result<StoreListing>)>;
    using WriteCompletion = std::function<void(Result<StoreRevision>)>;

    // url is the service's address, such as "http://127.0.0.1:7000".
    StoreClient(net::HttpClient &http, std::string url, std::chrono::milliseconds timeout);

    void get(const std::string &key, GetCompletion completion);
    void list(const std::string &prefix, ListCompletion completion);
    void compareAndSwap(StoreWrite write, WriteCompletion completion);
    // Answers with the items under prefix changed after the revision, or with none after wait.
    void watch(const std::string &prefix, StoreRevision after, std::chrono::milliseconds wait,
               ListCompletion completion);

private:
    net::HttpClient &m_http;
    std::string m_url;
    std::chrono::milliseconds m_timeout;
};

} // namespace cyclamenlatch::platform
