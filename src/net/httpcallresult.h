// How an outgoing HTTP call ended, with proof of whether the peer can have seen any of it.
#pragma once

#include "net/httpcall.h"
#include "net/httpreply.h"

#include <optional>
#include <string>

namespace cyclamenlatch::net {

enum class SendState {
    // No byte of the request was written to any connection.
    NotSent,
    // Some or all of the request may have reached the peer.
    MaybeSent,
};

struct HttpCallResult
{
    SendState sendState = SendState::NotSent;
    // Set only when the whole reply arrived.
    std::optional<HttpReply> reply;
    // The reply to the request of HttpCall::peerCheck, if the call was not sent because the peer is
    // another process or did not name itself.
    std::optional<HttpReply> peerReply;
    // Why there is no reply; empty when there is one.
    std::string failure;
    // The call as it was sent, so that its body can be sent again without a copy.
    HttpCall call;
};

} // namespace cyclamenlatch::net
