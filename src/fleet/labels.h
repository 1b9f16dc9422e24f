// The labels of a worker.
#pragma once

#include <map>
#include <string>

namespace cyclamenlatch::fleet {

using Labels = std::map<std::string, std::string>;

} // namespace cyclamenlatch::fleet
