// Certificate and key of a server that speaks TLS.
#pragma once

#include "global/result.h"

#include <chrono>
#include <string>

namespace cyclamenlatch::net {

struct TlsSettings
{
    // PEM: the server's certificate first, then those that signed it.
    std::string certificateFile;
    // PEM, without a passphrase.
    std::string keyFile;
    // How often the files are read again.
    std::chrono::milliseconds reloadInterval{5000};
};

// Whether both files can be read and belong together.
Result<void> checkTlsFiles(const TlsSettings &settings);

} // namespace cyclamenlatch::net
