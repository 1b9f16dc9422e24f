// The text form of a head: a first line that marks it, then one hash a line.
#include "configuration/confighead.h"

namespace cyclamenlatch::configuration {

namespace {

constexpr std::string_view marker = "#parts\n";

} // namespace

std::string ConfigHead::toText() const
{
    std::string text(marker);
    for (const auto &part : parts) {
        text += part;
        text += '\n';
    }
    return text;
}

std::optional<ConfigHead> ConfigHead::fromText(std::string_view text)
{
    if (!text.starts_with(marker)) {
        return std::nullopt;
    }
    text.remove_prefix(marker.size());
    ConfigHead head;
    while (!text.empty()) {
        const auto end = text.find('\n');
        head.parts.emplace_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return head;
}

} // namespace cyclamenlatch::configuration
