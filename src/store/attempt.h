// The unique id of one write, carried in the stored value, so that a write whose answer was lost
// is recognised when the key is read back. The id is the value's first line, a YAML comment.
#pragma once

#include <string>
#include <string_view>

namespace cyclamenlatch::store {

struct AttemptedValue
{
    // Empty for a value that was not written by a StoreClient.
    std::string attempt;
    std::string value;
};

std::string makeAttemptId();
std::string joinAttempt(const AttemptedValue &value);
AttemptedValue splitAttempt(std::string_view stored);

} // namespace cyclamenlatch::store
