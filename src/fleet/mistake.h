// One mistake in a document, with its line and what to do about it.
#pragma once

#include <string>

namespace cyclamenlatch::fleet {

struct Mistake
{
    // Counted from 1; 0 when the mistake has no single place.
    int line = 0;
    std::string message;
    std::string remedy;

    std::string toString() const;
};

} // namespace cyclamenlatch::fleet
