// Rules and JSON of the store's record of holders.
#include "quota/holderregistry.h"

#include "quota/internal/holderjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenlatch::quota {

namespace {

using nlohmann::json;

json foldToJson(const QuotaFold &fold)
{
    json value = json::array();
    for (const auto &[resource, units] : fold) {
        value.push_back({quotaKindNames.name(resource.kind), resource.name, units});
    }
    return value;
}

std::optional<QuotaFold> foldFromJson(const json &value)
{
    QuotaFold fold;
    for (const auto &item : value) {
        const auto kind = quotaKindNames.value(item.at(0).get<std::string>());
        if (!kind) {
            return std::nullopt;
        }
        fold[{*kind, item.at(1).get<std::string>()}] = item.at(2).get<std::int64_t>();
    }
    return fold;
}

std::optional<RegisteredHolder> holderFromJson(const json &value)
{
    RegisteredHolder holder;
    holder.dataCentre = DataCentreId(value.at("dataCentre").get<std::string>());
    holder.address = value.at("address").get<std::string>();
    // Absent when the entry's settings don't tell.
    holder.host.name = value.value("host", std::string());
    holder.host.replacements = value.value("replacements", std::uint64_t{0});
    if (value.contains("gone")) {
        holder.gone = goneProofNames.value(value.at("gone").get<std::string>());
        if (!holder.gone) {
            return std::nullopt;
        }
    }
    for (const auto &[name, fold] : value.at("folds").items()) {
        const auto by = detail::holderOf(name);
        auto units = foldFromJson(fold);
        if (!by || !units) {
            return std::nullopt;
        }
        holder.folds[*by] = std::move(*units);
    }
    return holder;
}

} // namespace

void HolderRegistry::enter(const QuotaHolder &holder, DataCentreId dataCentre, std::string address,
                           HostLife host)
{
    for (auto &[other, registered] : holders) {
        const bool earlierLife = other.entry == holder.entry
                                 && other.incarnation < holder.incarnation
                                 && registered.address == address;
        if (earlierLife && !registered.gone) {
            registered.gone = GoneProof::Restarted;
        }
    }
    holders.try_emplace(
            holder,
            RegisteredHolder{std::move(dataCentre), std::move(address), std::move(host), {}, {}});
}

bool HolderRegistry::markGone(const QuotaHolder &holder, GoneProof proof)
{
    const auto found = holders.find(holder);
    if (found == holders.end() || found->second.gone) {
        return false;
    }
    found->second.gone = proof;
    return true;
}

bool HolderRegistry::isActive(const QuotaHolder &holder) const
{
    const auto found = holders.find(holder);
    return found != holders.end() && !found->second.gone;
}

std::vector<QuotaHolder> HolderRegistry::gone() const
{
    std::vector<QuotaHolder> gone;
    for (const auto &[holder, registered] : holders) {
        if (registered.gone) {
            gone.push_back(holder);
        }
    }
    return gone;
}

std::vector<QuotaHolder> HolderRegistry::unfoldedBy(const QuotaHolder &holder) const
{
    std::vector<QuotaHolder> unfolded;
    for (const auto &[other, registered] : holders) {
        if (registered.gone && !registered.folds.contains(holder)) {
            unfolded.push_back(other);
        }
    }
    return unfolded;
}

bool HolderRegistry::canSettle() const
{
    return std::all_of(holders.begin(), holders.end(), [this](const auto &item) {
        return item.second.gone || unfoldedBy(item.first).empty();
    });
}

std::map<QuotaHolder, std::map<QuotaHolder, std::int64_t>> HolderRegistry::foldsOf(
        const QuotaResource &resource) const
{
    std::map<QuotaHolder, std::map<QuotaHolder, std::int64_t>> folds;
    for (const auto &[holder, registered] : holders) {
        if (!registered.gone) {
            continue;
        }
        auto &byHolder = folds[holder];
        for (const auto &[by, fold] : registered.folds) {
            const auto units = fold.find(resource);
            if (units != fold.end()) {
                byHolder[by] = units->second;
            }
        }
    }
    return folds;
}

std::string toJson(const HolderRegistry &registry)
{
    json value = json::object();
    for (const auto &[holder, registered] : registry.holders) {
        json folds = json::object();
        for (const auto &[by, fold] : registered.folds) {
            folds[detail::holderName(by)] = foldToJson(fold);
        }
        auto &item = value[detail::holderName(holder)];
        item = {{"dataCentre", registered.dataCentre.value()},
                {"address", registered.address},
                {"folds", folds}};
        if (registered.host.isKnown()) {
            item["host"] = registered.host.name;
            item["replacements"] = registered.host.replacements;
        }
        if (registered.gone) {
            item["gone"] = goneProofNames.name(*registered.gone);
        }
    }
    return value.dump();
}

std::optional<HolderRegistry> registryFromJson(const std::string &text)
{
    try {
        HolderRegistry registry;
        const auto value = json::parse(text);
        for (const auto &[name, item] : value.items()) {
            const auto holder = detail::holderOf(name);
            auto registered = holderFromJson(item);
            if (!holder || !registered) {
                return std::nullopt;
            }
            registry.holders[*holder] = std::move(*registered);
        }
        return registry;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace cyclamenlatch::quota
