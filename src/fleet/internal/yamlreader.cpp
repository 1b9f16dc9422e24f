// Typed access to a YAML mapping with collected mistakes.
#include "fleet/yamlreader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace cyclamenlatch::fleet {

std::string Mistake::toString() const
{
    if (line == 0) {
        return fmt::format("{}; {}", message, remedy);
    }
    return fmt::format("line {}: {}; {}", line, message, remedy);
}

YamlReader::YamlReader(const YAML::Node &node, std::string place, std::vector<Mistake> &mistakes)
    : m_node(node)
    , m_place(std::move(place))
    , m_mistakes(mistakes)
{
    if (!m_node.IsMap()) {
        addMistake(line(), fmt::format("{} is not a mapping", m_place),
                   "write it as \"field: value\" lines");
    }
}

int YamlReader::line() const
{
    return m_node.Mark().line + 1;
}

void YamlReader::addMistake(int line, std::string message, std::string remedy)
{
    m_mistakes.push_back({line, std::move(message), std::move(remedy)});
}

YAML::Node YamlReader::child(const std::string &field)
{
    m_known.insert(field);
    if (!m_node.IsMap()) {
        return YAML::Node(YAML::NodeType::Undefined);
    }
    return m_node[field];
}

std::string YamlReader::requiredText(const std::string &field)
{
    const auto node = child(field);
    if (!node.IsDefined() || !node.IsScalar() || node.Scalar().empty()) {
        addMistake(node.IsDefined() ? node.Mark().line + 1 : line(),
                   fmt::format("{} has no text in \"{}\"", m_place, field),
                   fmt::format("add \"{}: ...\"", field));
        return {};
    }
    return node.Scalar();
}

std::string YamlReader::text(const std::string &field, const std::string &fallback)
{
    const auto node = child(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    if (!node.IsScalar()) {
        addMistake(node.Mark().line + 1, fmt::format("{}: \"{}\" is not text", m_place, field),
                   "write one value");
        return fallback;
    }
    return node.Scalar();
}

bool YamlReader::flag(const std::string &field, bool fallback)
{
    const auto node = child(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    bool value = fallback;
    if (!YAML::convert<bool>::decode(node, value)) {
        addMistake(node.Mark().line + 1,
                   fmt::format("{}: \"{}\" is neither true nor false", m_place, field),
                   "write true or false");
    }
    return value;
}

double YamlReader::number(const std::string &field, double fallback, double least, double most)
{
    const auto node = child(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    double value = 0;
    if (!YAML::convert<double>::decode(node, value) || !(value >= least && value <= most)) {
        addMistake(node.Mark().line + 1,
                   fmt::format("{}: \"{}\" is not a number from {} to {}", m_place, field, least,
                               most),
                   "choose a number in this range");
        return fallback;
    }
    return value;
}

unsigned YamlReader::count(const std::string &field, unsigned fallback, unsigned least,
                           unsigned most)
{
    const auto node = child(field);
    if (!node.IsDefined()) {
        return fallback;
    }
    unsigned value = 0;
    if (!YAML::convert<unsigned>::decode(node, value) || value < least || value > most) {
        addMistake(node.Mark().line + 1,
                   fmt::format("{}: \"{}\" is not a whole number from {} to {}", m_place, field,
                               least, most),
                   "choose a whole number in this range");
        return fallback;
    }
    return value;
}

void YamlReader::refuseUnknownFields()
{
    if (!m_node.IsMap()) {
        return;
    }
    for (const auto &pair : m_node) {
        const auto &field = pair.first.Scalar();
        if (m_known.contains(field)) {
            continue;
        }
        addMistake(pair.first.Mark().line + 1,
                   fmt::format("{} has the unknown field \"{}\"", m_place, field),
                   fmt::format("remove it, or use one of: {}", fmt::join(m_known, ", ")));
    }
}

} // namespace cyclamenlatch::fleet
