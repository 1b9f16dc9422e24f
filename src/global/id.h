// Strongly typed identifiers: a worker's id can't be passed where a pool's is expected.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace cyclamenlatch {

template<typename Tag>
class Id
{
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {}

    const std::string &value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    auto operator<=>(const Id &) const = default;

    template<class Archive>
    void serialize(Archive &archive)
    {
        archive(m_value);
    }

private:
    std::string m_value;
};

} // namespace cyclamenlatch

template<typename Tag>
struct std::hash<cyclamenlatch::Id<Tag>>
{
    std::size_t operator()(const cyclamenlatch::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};
