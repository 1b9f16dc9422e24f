// Decodes the settings file (YAML).
#include "platform/entrysettings.h"

#include "platform/internal/plaintext.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <cmath>
#include <fstream>
#include <sstream>

namespace cyclamenlatch::platform {

namespace {

constexpr const char *settingsRemedy = "correct the settings file; DEPLOY describes its fields";

// Reads the scalar `name` of a mapping into value; leaves value unchanged when it is missing or
// malformed.
template<typename Number>
void readScalar(const YAML::Node &mapping, const char *name, Number &value)
{
    if (mapping && mapping[name] && mapping[name].IsScalar()) {
        const auto number = mapping[name].as<Number>(value);
        value = std::isfinite(static_cast<double>(number)) ? number : value;
    }
}

// millisecondsPerUnit: length of the unit in which the file gives the time.
void readMilliseconds(const YAML::Node &mapping, const char *name, std::chrono::milliseconds &value,
                      double millisecondsPerUnit = 1)
{
    constexpr double maxMilliseconds = 1e12;
    double number = static_cast<double>(value.count()) / millisecondsPerUnit;
    readScalar(mapping, name, number);
    number *= millisecondsPerUnit;
    // False also for a number that is not finite.
    if (number >= 0 && number <= maxMilliseconds) {
        value = std::chrono::milliseconds(static_cast<std::int64_t>(number));
    }
}

Result<std::uint16_t> parsePort(const std::string &address, const char *field)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    bool isNumber = false;
    if (colon != std::string::npos) {
        isNumber = detail::parseWholeNumber(std::string_view(address).substr(colon + 1), port);
    }
    if (!isNumber || port == 0) {
        return failure(
                ErrorKind::InvalidInput,
                fmt::format("settings: {} is \"{}\"; it must be address:port", field, address),
                settingsRemedy);
    }
    return port;
}

std::string readAddress(const YAML::Node &root, const char *section)
{
    return root[section] && root[section].IsMap() ? root[section]["address"].as<std::string>("")
                                                  : std::string{};
}

void readBounds(const YAML::Node &bounds, EntrySettings &settings)
{
    constexpr double millisecondsPerSecond = 1000;
    readMilliseconds(bounds, "grace_s", settings.terminationGracePeriod, millisecondsPerSecond);
    readMilliseconds(bounds, "hold_max_ms", settings.maxRunLease);
    readMilliseconds(bounds, "stop_timeout_ms", settings.stopTimeout);
    readMilliseconds(bounds, "lease_ms", settings.holderCooldown);
    readMilliseconds(bounds, "maintenance_s", settings.maintenanceDuration, millisecondsPerSecond);
    auto retention =
            std::chrono::duration_cast<std::chrono::milliseconds>(settings.endedJobRetention);
    readMilliseconds(bounds, "status_s", retention, millisecondsPerSecond);
    settings.endedJobRetention = std::chrono::duration_cast<std::chrono::seconds>(retention);
    readScalar(bounds, "remote_factor", settings.remoteSlowdownFactor);
}

Result<EntrySettings> decode(const YAML::Node &root)
{
    EntrySettings settings;
    settings.name = root["node_name"].as<std::string>("");
    settings.dataCentre = root["zone"].as<std::string>("");
    settings.listenAddress = root["ip"].as<std::string>("");
    settings.storeAddress = readAddress(root, "platform");
    settings.hostApiAddress = readAddress(root, "cloud");
    settings.adviceAddress = root["recommendation"] && root["recommendation"].IsScalar()
                                     ? root["recommendation"].as<std::string>("")
                                     : std::string{};
    if (settings.name.empty() || settings.listenAddress.empty() || settings.storeAddress.empty()) {
        return failure(ErrorKind::InvalidInput,
                       "settings: node_name, ip or platform.address is missing or empty",
                       settingsRemedy);
    }
    const auto commands = root["commands"].as<std::string>("invocation");
    if (commands != "invocation") {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("settings: commands \"{}\" is not supported", commands),
                       "set commands to \"invocation\"");
    }
    const auto addresses = root["listen_addrs"];
    if (!addresses || !addresses.IsMap()) {
        return failure(ErrorKind::InvalidInput,
                       "settings: listen_addrs is missing or not a mapping", settingsRemedy);
    }
    BOOST_OUTCOME_TRY(callerPort, parsePort(addresses["frontend"].as<std::string>(""),
                                            "listen_addrs.frontend"));
    BOOST_OUTCOME_TRY(readinessPort, parsePort(addresses["readiness"].as<std::string>(""),
                                               "listen_addrs.readiness"));
    settings.callerPort = callerPort;
    settings.readinessPort = readinessPort;
    if (const auto ports = root["ephemeral_ports"];
        ports && ports.IsSequence() && ports.size() > 0) {
        settings.metricsPort = ports[0].as<std::uint16_t>(0);
    }
    if (root["cloud"] && root["cloud"].IsMap()) {
        readScalar(root["cloud"], "rate_per_s", settings.hostReadsPerSecond);
        readScalar(root["cloud"], "duty_per_s", settings.hostOrdersPerSecond);
    }
    if (root["limits"] && root["limits"].IsMap()) {
        double cpuShare = 1;
        double coreCount = 1;
        readScalar(root["limits"], "cpu_share", cpuShare);
        readScalar(root["limits"], "cores", coreCount);
        settings.cores = cpuShare * coreCount;
        readScalar(root["limits"], "max_fds", settings.maxFileDescriptors);
        std::size_t memoryMib = 0;
        readScalar(root["limits"], "memory_mb", memoryMib);
        settings.memoryBytes = memoryMib == 0 ? settings.memoryBytes : memoryMib * 1024 * 1024;
    }
    if (root["bounds"] && root["bounds"].IsMap()) {
        readBounds(root["bounds"], settings);
    }
    return settings;
}

} // namespace

Result<EntrySettings> parseEntrySettings(const std::string &text)
{
    try {
        const auto root = YAML::Load(text);
        if (!root.IsMap()) {
            return failure(ErrorKind::InvalidInput, "settings: the file is not a YAML mapping",
                           settingsRemedy);
        }
        return decode(root);
    } catch (const YAML::Exception &error) {
        return failure(ErrorKind::InvalidInput,
                       fmt::format("settings: the YAML can't be decoded: {}", error.what()),
                       settingsRemedy);
    }
}

Result<EntrySettings> readEntrySettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(ErrorKind::NotFound, fmt::format("settings: cannot read {}", path),
                       "set CYCLAMENLATCH_SETTINGS to a readable file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseEntrySettings(text.str());
}

} // namespace cyclamenlatch::platform
