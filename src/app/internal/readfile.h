// Reads a whole file.
#pragma once

#include "global/result.h"

#include <fstream>
#include <sstream>
#include <string>

namespace cyclamenlatch::app::detail {

inline Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        return failure(ErrorKind::NotFound, "cannot read \"" + path + "\"",
                       "check that the file exists, is not empty and may be read");
    }
    return content.str();
}

} // namespace cyclamenlatch::app::detail
