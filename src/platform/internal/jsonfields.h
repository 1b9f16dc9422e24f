// Reads fields of JSON received from other processes. A missing field or one of the wrong type is
// not an error here: the functions return an empty or default value and the caller decides.
#pragma once

#include "scheduling/resources.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenlatch::platform::detail {

// Returns a discarded value when the text is not valid JSON; it has no fields.
inline nlohmann::json parseJson(const std::string &text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

inline const nlohmann::json *findField(const nlohmann::json &object, const char *name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

inline std::string stringField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    return field != nullptr && field->is_string() ? field->get<std::string>() : std::string{};
}

// Truncates a floating-point number towards zero.
inline std::optional<std::int64_t> integerField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    if (field == nullptr || !field->is_number()) {
        return std::nullopt;
    }
    return field->is_number_float() ? static_cast<std::int64_t>(field->get<double>())
                                    : field->get<std::int64_t>();
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

inline scheduling::Resources decodeResources(const nlohmann::json &object)
{
    return {integerField(object, "cpu").value_or(0), integerField(object, "mem_mb").value_or(0),
            integerField(object, "gpu").value_or(0)};
}

inline double realField(const nlohmann::json &object, const char *name, double defaultValue)
{
    const auto *field = findField(object, name);
    return field != nullptr && field->is_number() ? field->get<double>() : defaultValue;
}

inline bool boolField(const nlohmann::json &object, const char *name)
{
    const auto *field = findField(object, name);
    return field != nullptr && field->is_boolean() && field->get<bool>();
}

} // namespace cyclamenlatch::platform::detail
