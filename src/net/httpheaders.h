// Header fields of an HTTP message, looked up without regard to case.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenlatch::net {

struct HttpHeader
{
    std::string name;
    std::string value;
};

class HttpHeaders
{
public:
    void add(std::string name, std::string value);
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<HttpHeader> &all() const { return m_headers; }

private:
    std::vector<HttpHeader> m_headers;
};

} // namespace cyclamenlatch::net
