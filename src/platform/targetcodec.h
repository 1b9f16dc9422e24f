// The calls of targets and what their answers mean, and what targets say of themselves in the
// platform's list.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "scheduling/jobrecord.h"
#include "scheduling/keepalivereport.h"
#include "scheduling/orders.h"
#include "scheduling/targetinfo.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::platform {

// Where the store lists targets.
inline constexpr std::string_view targetsPrefix = "servers/";

// A job's 16 digits.
std::string formatJobId(scheduling::JobNumber id);
std::optional<scheduling::JobNumber> parseJobId(std::string_view text);

// Nothing when the entry names no target that can be used.
std::optional<scheduling::TargetInfo> decodeTarget(const std::string &key,
                                                   const std::string &value);

net::HttpCall startCall(const scheduling::TargetInfo &target, std::uint64_t token,
                        const scheduling::StartOrder &order, const std::string &text);
net::HttpCall stopCall(const scheduling::TargetInfo &target, std::uint64_t token,
                       const scheduling::StopOrder &order);
net::HttpCall paceCall(const scheduling::TargetInfo &target, std::uint64_t token,
                       const scheduling::PaceOrder &order);
net::HttpCall keepAliveCall(const scheduling::TargetInfo &target, std::uint64_t token,
                            const scheduling::KeepAliveOrder &order);

// address: of the advice service.
net::HttpCall adviceCall(const std::string &address, const scheduling::AdviseOrder &order);

struct AdviceReply
{
    std::vector<scheduling::Advice> approved;
    std::chrono::milliseconds validity{};
};

// Nothing when the service gave no advice.
std::optional<AdviceReply> decodeAdviceReply(const net::HttpCallResult &result);

scheduling::OrderResult decodeOrderReply(const net::HttpCallResult &result);

struct KeepAliveReply
{
    // Nothing when the target gave no list.
    std::optional<scheduling::KeepAliveReport> report;
    // A holder with a higher token has called.
    bool isFenced = false;
    // Another target answers at this address.
    bool isWrongTarget = false;
    std::string failure;
};

KeepAliveReply decodeKeepAliveReply(const net::HttpCallResult &result);

} // namespace cyclamenlatch::platform
