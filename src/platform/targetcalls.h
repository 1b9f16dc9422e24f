// The calls of targets and what their answers mean, and what targets say of themselves in the
// platform's list.
#pragma once

#include "net/httpcall.h"
#include "net/httpcallresult.h"
#include "scheduling/holdreport.h"
#include "scheduling/jobrecord.h"
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
std::string jobIdText(scheduling::JobNumber id);
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
net::HttpCall holdCall(const scheduling::TargetInfo &target, std::uint64_t token,
                       const scheduling::HoldOrder &order);

// address: of the advice service.
net::HttpCall adviceCall(const std::string &address, const scheduling::AdviseOrder &order);

struct AdviceAnswer
{
    std::vector<scheduling::Advice> approved;
    std::chrono::milliseconds validity{};
};

// Nothing when the service gave no advice.
std::optional<AdviceAnswer> judgeAdvice(const net::HttpCallResult &result);

scheduling::OrderAnswer judgeOrder(const net::HttpCallResult &result);

struct HoldAnswer
{
    // Nothing when the target gave no list.
    std::optional<scheduling::HoldReport> report;
    // A holder with a higher token has called.
    bool isFenced = false;
    // Another target answers at this address.
    bool isOther = false;
    std::string failure;
};

HoldAnswer judgeHold(const net::HttpCallResult &result);

} // namespace cyclamenlatch::platform
