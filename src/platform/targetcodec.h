// Requests to targets and to the advice service, the decoding of their replies, and the decoding of
// the entries by which targets register in the platform's store.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "scheduling/jobrecord.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/orders.h"
#include "scheduling/targetinfo.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::platform {

// Prefix of the store's keys that list targets; the target's id follows.
inline constexpr std::string_view targetsPrefix = "servers/";

// A job id is written as 16 hexadecimal digits. parseJobId returns std::nullopt for any other text.
std::string formatJobId(scheduling::JobNumber id);
std::optional<scheduling::JobNumber> parseJobId(std::string_view text);

// Returns std::nullopt for an entry that describes no usable target: malformed, without service,
// address:port or capacity, or in a state other than ready and draining.
std::optional<scheduling::TargetInfo> decodeTarget(const std::string &key,
                                                   const std::string &value);

// text: the job's text.
net::HttpCall startCall(const scheduling::TargetInfo &target, const scheduling::StartOrder &order,
                        const std::string &text);
net::HttpCall stopCall(const scheduling::TargetInfo &target, const scheduling::StopOrder &order);
net::HttpCall paceCall(const scheduling::TargetInfo &target, const scheduling::PaceOrder &order);
net::HttpCall keepAliveCall(const scheduling::TargetInfo &target,
                            const scheduling::KeepAliveOrder &order);

// address: "address:port" of the advice service.
net::HttpCall adviceCall(const std::string &address, const scheduling::AdviseOrder &order);

struct AdviceReply
{
    std::vector<scheduling::Advice> approved;
    // How long the approval is valid.
    std::chrono::milliseconds validity{};
};

// Returns std::nullopt unless the status is 200 and the body has a list of approved targets.
std::optional<AdviceReply> decodeAdviceReply(const net::HttpCallResult &result);

// A call without a reply that may have been sent, and the statuses 500, 502 and 504, give
// OutcomeUnknown.
scheduling::OrderResult decodeOrderReply(const net::HttpCallResult &result);
// The target's clock in its reply to an order; nothing if the reply does not name it.
std::optional<std::chrono::milliseconds> decodeOrderClock(const net::HttpCallResult &result);

struct KeepAliveReply
{
    // Not set when the call failed or the target's list of runs is malformed; see failure.
    std::optional<scheduling::KeepAliveReport> report;
    // The target refused the call because it has seen a higher fencing token.
    bool isFenced = false;
    // A different target now answers at this address (status 421).
    bool isWrongTarget = false;
    // Why there is no report; empty when there is one.
    std::string failure;
};

KeepAliveReply decodeKeepAliveReply(const net::HttpCallResult &result);

} // namespace cyclamenlatch::platform
