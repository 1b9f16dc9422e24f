// Reads fields of JSON received from other processes. A missing field, one of the wrong type or a
// number out of range is not an error here: the functions return an empty or default value and the
// caller decides.
#pragma once

#include "scheduling/resources.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::platform::detail {

// Every format of the platform is at most six levels deep.
constexpr int maxNesting = 32;
// Integers up to this one are exact in any JSON implementation: 2^53.
constexpr std::int64_t maxExactInteger = std::int64_t{1} << 53;
// Upper bound of amounts and durations in milliseconds; 34 years, if it is a duration.
constexpr std::int64_t maxAmount = std::int64_t{1} << 40;

// Whether arrays and objects are nested too deeply. Each level of a parsed value takes memory, so
// that a small text could exhaust the process's.
inline bool isNestedTooDeeply(std::string_view text)
{
    int depth = 0;
    bool isInString = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (isInString) {
            at += character == '\\' ? 1 : 0;
            isInString = character != '"';
        } else if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxNesting) {
                return true;
            }
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return false;
}

// Returns a discarded value when the text is not valid JSON or is nested too deeply; it has no
// fields.
inline nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text)) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
    return nlohmann::json::parse(text, nullptr, false);
}

// A field that is null counts as missing.
inline const nlohmann::json *findField(const nlohmann::json &object, const char *name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() || found->is_null() ? nullptr : &*found;
}

inline std::string stringField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    return field != nullptr && field->is_string() ? field->get<std::string>() : std::string{};
}

constexpr std::int64_t lowestInteger = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t highestInteger = std::numeric_limits<std::int64_t>::max();

// Truncates a floating-point number towards zero. Empty for a number outside the bounds, and for a
// floating-point one that is not exact.
inline std::optional<std::int64_t> toInteger(const nlohmann::json &value,
                                             std::int64_t lowest = lowestInteger,
                                             std::int64_t highest = highestInteger)
{
    std::int64_t number = 0;
    if (value.is_number_float()) {
        const auto real = value.get<double>();
        if (std::abs(real) > static_cast<double>(maxExactInteger)) {
            return std::nullopt;
        }
        number = static_cast<std::int64_t>(real);
    } else if (value.is_number_unsigned()) {
        if (value.get<std::uint64_t>() > static_cast<std::uint64_t>(highestInteger)) {
            return std::nullopt;
        }
        number = value.get<std::int64_t>();
    } else if (value.is_number_integer()) {
        number = value.get<std::int64_t>();
    } else {
        return std::nullopt;
    }
    return number >= lowest && number <= highest ? std::optional(number) : std::nullopt;
}

inline std::optional<std::int64_t> integerField(const nlohmann::json &object, const char *name,
                                                std::int64_t lowest = lowestInteger,
                                                std::int64_t highest = highestInteger)
{
    const auto *field = findField(object, name);
    return field == nullptr ? std::nullopt : toInteger(*field, lowest, highest);
}

// Whether the field is a number between 0 and maxAmount, or missing.
inline bool hasValidAmount(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr) {
        return true;
    }
    if (!field->is_number()) {
        return false;
    }
    const auto value = field->get<double>();
    return value >= 0 && value <= static_cast<double>(maxAmount);
}

// Revisions and other numbers that may take all 64 bits.
inline std::uint64_t unsignedField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field != nullptr && field->is_number_unsigned()) {
        return field->get<std::uint64_t>();
    }
    return static_cast<std::uint64_t>(integerField(object, name, 0, maxExactInteger).value_or(0));
}

// Returns the strings of a list; elements of other types are skipped.
inline std::vector<std::string> stringListField(const nlohmann::json &object, const char *name)
{
    std::vector<std::string> texts;
    const auto *list = findField(object, name);
    if (list == nullptr || !list->is_array()) {
        return texts;
    }
    for (const auto &item : *list) {
        if (item.is_string()) {
            texts.push_back(item.get<std::string>());
        }
    }
    return texts;
}

// Amounts that are missing or out of range are 0.
inline scheduling::Resources decodeResources(const nlohmann::json &object)
{
    const auto amount = [&](const char *name) {
        return integerField(object, name, 0, maxAmount).value_or(0);
    };
    return {amount("cpu"), amount("mem_mb"), amount("gpu")};
}

// Returns the default when the field is missing, is no number or is outside 0 to highest.
inline double realField(const nlohmann::json &object, const char *name, double defaultValue,
                        double highest)
{
    const auto *field = findField(object, name);
    const auto value = field != nullptr && field->is_number() ? field->get<double>() : defaultValue;
    return value >= 0 && value <= highest ? value : defaultValue;
}

inline bool boolField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    return field != nullptr && field->is_boolean() && field->get<bool>();
}

} // namespace cyclamenlatch::platform::detail
