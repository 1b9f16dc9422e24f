// Compares fleet documents by the ids of their items.
#include "fleet/fleetdiff.h"

#include "fleet/fleetyaml.h"

#include <map>

namespace cyclamenlatch::fleet {

namespace {

// Returns the item's YAML on one line, without the section's name.
template<typename Item>
std::string itemText(const Item &item, std::vector<Item> FleetDocument::*section)
{
    FleetDocument single;
    (single.*section).push_back(item);
    const auto yaml = writeFleet(single);
    std::string text;
    for (const char character : yaml.substr(yaml.find('{'))) {
        const bool isSpace = character == '\n' || character == ' ';
        if (!isSpace || (!text.empty() && text.back() != ' ')) {
            text += isSpace ? ' ' : character;
        }
    }
    text.erase(text.find_last_not_of(' ') + 1);
    return text;
}

template<typename Item>
void diffSection(const FleetDocument &before, const FleetDocument &after,
                 std::vector<Item> FleetDocument::*section, const char *name,
                 std::vector<FleetChange> &changes)
{
    std::map<std::string, const Item *> old;
    for (const auto &item : before.*section) {
        old[item.id.value()] = &item;
    }
    for (const auto &item : after.*section) {
        const auto known = old.extract(item.id.value());
        if (known.empty()) {
            changes.push_back(
                    {ChangeKind::Added, name, item.id.value(), "", itemText(item, section)});
        } else if (!(*known.mapped() == item)) {
            changes.push_back({ChangeKind::Changed, name, item.id.value(),
                               itemText(*known.mapped(), section), itemText(item, section)});
        }
    }
    for (const auto &[id, item] : old) {
        changes.push_back({ChangeKind::Removed, name, id, itemText(*item, section), ""});
    }
}

} // namespace

std::vector<FleetChange> diffFleets(const FleetDocument &before, const FleetDocument &after)
{
    std::vector<FleetChange> changes;
    diffSection(before, after, &FleetDocument::dataCentres, "dataCentres", changes);
    diffSection(before, after, &FleetDocument::pools, "pools", changes);
    diffSection(before, after, &FleetDocument::workers, "workers", changes);
    diffSection(before, after, &FleetDocument::services, "services", changes);
    diffSection(before, after, &FleetDocument::queues, "queues", changes);
    diffSection(before, after, &FleetDocument::workspaces, "workspaces", changes);
    diffSection(before, after, &FleetDocument::keys, "keys", changes);
    return changes;
}

} // namespace cyclamenlatch::fleet
