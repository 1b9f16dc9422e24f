// Makes certificates for loopback with the openssl tool.
#pragma once

#include "net/tlssettings.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <unistd.h>

namespace cyclamenlatch::testing {

// Names of files that hold a fresh key and its self-signed certificate.
inline net::TlsSettings makeCertificate(const std::string &name)
{
    const auto path = fmt::format("{}/{}-{}", ::testing::TempDir(), name, getpid());
    net::TlsSettings files;
    files.certificateFile = path + ".crt";
    files.keyFile = path + ".key";
    const auto command =
            fmt::format("openssl req -x509 -newkey ec -pkeyopt ec_paramgen_curve:P-256 -nodes "
                        "-days 2 -subj /CN={} -addext subjectAltName=IP:127.0.0.1 "
                        "-keyout {} -out {} 2>/dev/null",
                        name, files.keyFile, files.certificateFile);
    EXPECT_EQ(std::system(command.c_str()), 0) << command;
    return files;
}

inline void copyCertificate(const net::TlsSettings &from, const net::TlsSettings &to)
{
    constexpr auto overwrite = std::filesystem::copy_options::overwrite_existing;
    std::filesystem::copy_file(from.certificateFile, to.certificateFile, overwrite);
    std::filesystem::copy_file(from.keyFile, to.keyFile, overwrite);
}

} // namespace cyclamenlatch::testing
