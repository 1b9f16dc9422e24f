// Tables that give each value of an enumeration its name, and look values up by name.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cyclamenlatch {

template<typename Enum>
struct NamedValue
{
    Enum value;
    std::string_view name;
};

template<typename Enum, std::size_t Size>
class NameTable
{
public:
    constexpr explicit NameTable(const NamedValue<Enum> (&entries)[Size])
    {
        for (std::size_t index = 0; index < Size; ++index) {
            m_entries[index] = entries[index];
        }
    }

    constexpr std::string_view name(Enum value) const
    {
        for (const auto &entry : m_entries) {
            if (entry.value == value) {
                return entry.name;
            }
        }
        return "unnamed";
    }

    constexpr std::optional<Enum> value(std::string_view name) const
    {
        for (const auto &entry : m_entries) {
            if (entry.name == name) {
                return entry.value;
            }
        }
        return std::nullopt;
    }

private:
    std::array<NamedValue<Enum>, Size> m_entries{};
};

} // namespace cyclamenlatch
