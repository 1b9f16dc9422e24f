// Where each item of a document stands, for messages.
#pragma once

#include <map>
#include <string>

namespace cyclamenlatch::fleet::detail {

// By "section/name".
using ItemLines = std::map<std::string, int>;

} // namespace cyclamenlatch::fleet::detail
