// Arithmetic and JSON of the store's record of a limit.
#include "quota/quotaledger.h"

#include "quota/internal/holderjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace cyclamenlatch::quota {

namespace {

using nlohmann::json;

// Far more than the gone holders of the time that a settling entry may be paused.
constexpr std::size_t maxSettled = 200;

void forgetOldest(std::set<QuotaHolder> &settled)
{
    while (settled.size() > maxSettled) {
        settled.erase(std::min_element(settled.begin(), settled.end(),
                                       [](const QuotaHolder &left, const QuotaHolder &right) {
                                           return left.incarnation < right.incarnation;
                                       }));
    }
}

} // namespace

std::uint64_t QuotaLedger::out() const
{
    std::int64_t sum = 0;
    for (const auto &[holder, account] : accounts) {
        sum += account.units;
    }
    return static_cast<std::uint64_t>(std::max<std::int64_t>(sum, 0));
}

std::uint64_t QuotaLedger::free() const
{
    return limit > out() ? limit - out() : 0;
}

bool QuotaLedger::setLimit(std::uint64_t units, std::uint64_t revision)
{
    if (revision <= fleetRevision) {
        return false;
    }
    limit = units;
    fleetRevision = revision;
    return true;
}

std::uint64_t QuotaLedger::draw(const QuotaHolder &holder, std::uint64_t units)
{
    if (settled.contains(holder)) {
        return 0;
    }
    const auto given = std::min(units, free());
    auto &account = accounts[holder];
    account.units += static_cast<std::int64_t>(given);
    ++account.operation;
    return given;
}

void QuotaLedger::handBack(const QuotaHolder &holder, std::uint64_t units)
{
    auto &account = accounts[holder];
    account.units -= static_cast<std::int64_t>(units);
    ++account.operation;
}

void QuotaLedger::settle(
        const std::map<QuotaHolder, std::map<QuotaHolder, std::int64_t>> &foldsByGone)
{
    for (const auto &[gone, folds] : foldsByGone) {
        if (!settled.insert(gone).second) {
            continue;
        }
        accounts.erase(gone);
        for (const auto &[holder, units] : folds) {
            accounts[holder].units += units;
        }
    }
    // A fold by a holder that is gone too belongs to the units that are freed.
    for (const auto &[gone, folds] : foldsByGone) {
        accounts.erase(gone);
    }
    forgetOldest(settled);
}

std::string toJson(const QuotaLedger &ledger)
{
    json accounts = json::object();
    for (const auto &[holder, account] : ledger.accounts) {
        accounts[detail::holderName(holder)] = {account.units, account.operation};
    }
    json settled = json::array();
    for (const auto &holder : ledger.settled) {
        settled.push_back(detail::holderName(holder));
    }
    return json{{"limit", ledger.limit},
                {"fleetRevision", ledger.fleetRevision},
                {"accounts", accounts},
                {"settled", settled}}
            .dump();
}

std::optional<QuotaLedger> ledgerFromJson(const std::string &text)
{
    try {
        const auto value = json::parse(text);
        QuotaLedger ledger;
        ledger.limit = value.at("limit").get<std::uint64_t>();
        ledger.fleetRevision = value.at("fleetRevision").get<std::uint64_t>();
        for (const auto &[name, account] : value.at("accounts").items()) {
            const auto holder = detail::holderOf(name);
            if (!holder) {
                return std::nullopt;
            }
            ledger.accounts[*holder] = {account.at(0).get<std::int64_t>(),
                                        account.at(1).get<std::uint64_t>()};
        }
        for (const auto &name : value.at("settled")) {
            const auto holder = detail::holderOf(name.get<std::string>());
            if (!holder) {
                return std::nullopt;
            }
            ledger.settled.insert(*holder);
        }
        return ledger;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace cyclamenlatch::quota
