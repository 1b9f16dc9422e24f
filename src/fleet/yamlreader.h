// Reads fields of a YAML mapping and collects mistakes: wrong types, values out of range and
// fields that nobody asked for.
#pragma once

#include "fleet/mistake.h"

#include <yaml-cpp/yaml.h>

#include <limits>
#include <set>
#include <string>
#include <vector>

namespace cyclamenlatch::fleet {

class YamlReader
{
public:
    // place names the mapping in messages, such as "queues[3]".
    YamlReader(const YAML::Node &node, std::string place, std::vector<Mistake> &mistakes);

    std::string requiredText(const std::string &field);
    std::string text(const std::string &field, const std::string &fallback);
    bool flag(const std::string &field, bool fallback);
    // Refuses values outside [least, most].
    double number(const std::string &field, double fallback, double least,
                  double most = std::numeric_limits<double>::max());
    unsigned count(const std::string &field, unsigned fallback, unsigned least, unsigned most);
    // The field's node, undefined when absent; marks it as known.
    YAML::Node child(const std::string &field);
    int line() const;
    void addMistake(int line, std::string message, std::string remedy);
    // Reports the fields that were not read; call it last.
    void refuseUnknownFields();

private:
    const YAML::Node m_node;
    std::string m_place;
    std::vector<Mistake> &m_mistakes;
    std::set<std::string> m_known;
};

} // namespace cyclamenlatch::fleet
