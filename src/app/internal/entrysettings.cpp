// Reads an entry's settings from YAML.
#include "app/entrysettings.h"

#include "fleet/yamlreader.h"

namespace cyclamenlatch::app {

namespace {

constexpr unsigned maxPort = 65535;
constexpr unsigned maxReplacements = 1000000000;
constexpr unsigned maxThreads = 256;
constexpr unsigned maxEntries = 1000;
constexpr double maxPlatformCallsPerSecond = 1e5;
constexpr unsigned maxShutdownMilliseconds = 3600000;
constexpr unsigned maxLongestWorkMilliseconds = 86400000;
constexpr unsigned minReadMilliseconds = 100;
constexpr unsigned maxReadMilliseconds = 600000;
// Far below the time for which owners remember keys.
constexpr unsigned maxReportGraceMilliseconds = 60000;

ListenAddress readListenAddress(fleet::YamlReader &parent, const std::string &field,
                                std::vector<fleet::Mistake> &mistakes)
{
    ListenAddress listen;
    const auto node = parent.child(field);
    if (!node.IsDefined()) {
        parent.addMistake(parent.line(), "the settings have no \"" + field + "\"",
                          "add \"" + field + ": {address: 127.0.0.1, port: 8080}\"");
        return listen;
    }
    fleet::YamlReader reader(node, field, mistakes);
    listen.address = reader.requiredText("address");
    listen.port = static_cast<std::uint16_t>(reader.count("port", 0, 0, maxPort));
    reader.refuseUnknownFields();
    return listen;
}

quota::HostLife readHost(fleet::YamlReader &parent, std::vector<fleet::Mistake> &mistakes)
{
    quota::HostLife host;
    const auto node = parent.child("host");
    if (node.IsDefined()) {
        fleet::YamlReader reader(node, "host", mistakes);
        host.name = reader.requiredText("name");
        host.replacements = reader.count("replacements", 0, 0, maxReplacements);
        reader.refuseUnknownFields();
    }
    return host;
}

membership::PeerAddress readSeed(const YAML::Node &node, std::size_t index,
                                 std::vector<fleet::Mistake> &mistakes)
{
    membership::PeerAddress seed;
    fleet::YamlReader reader(node, "peers.seeds[" + std::to_string(index) + "]", mistakes);
    seed.entry = EntryId(reader.requiredText("entry"));
    seed.dataCentre = DataCentreId(reader.requiredText("dataCentre"));
    seed.address = reader.requiredText("address");
    seed.port = static_cast<std::uint16_t>(reader.count("port", 0, 1, maxPort));
    reader.refuseUnknownFields();
    return seed;
}

membership::PeerBusSettings readPeers(fleet::YamlReader &parent, const EntrySettings &settings,
                                      std::vector<fleet::Mistake> &mistakes)
{
    membership::PeerBusSettings peers;
    const auto node = parent.child("peers");
    if (!node.IsDefined()) {
        parent.addMistake(parent.line(), "the settings have no \"peers\"",
                          "add \"peers: {address: ..., port: ..., secret: ..., seeds: []}\"");
        return peers;
    }
    fleet::YamlReader reader(node, "peers", mistakes);
    peers.self.entry = settings.entry;
    peers.self.dataCentre = settings.dataCentre;
    peers.self.address = reader.requiredText("address");
    peers.self.port = static_cast<std::uint16_t>(reader.count("port", 0, 0, maxPort));
    peers.secret = reader.requiredText("secret");
    const auto seeds = reader.child("seeds");
    for (std::size_t index = 0; seeds.IsDefined() && index < seeds.size(); ++index) {
        peers.seeds.push_back(readSeed(seeds[index], index, mistakes));
    }
    reader.refuseUnknownFields();
    return peers;
}

operatorapi::OperatorKey readOperatorKey(const YAML::Node &node, std::size_t index,
                                         std::vector<fleet::Mistake> &mistakes)
{
    operatorapi::OperatorKey key;
    fleet::YamlReader reader(node, "operators.keys[" + std::to_string(index) + "]", mistakes);
    key.name = reader.requiredText("name");
    key.hash = reader.requiredText("hash");
    const auto role = operatorapi::roleNames.value(reader.text("role", "read"));
    if (!role) {
        reader.addMistake(reader.line(), "the role is neither \"read\" nor \"operate\"",
                          "write \"role: read\" or \"role: operate\"");
    }
    key.role = role.value_or(operatorapi::Role::Read);
    reader.refuseUnknownFields();
    return key;
}

std::optional<net::TlsSettings> readTls(fleet::YamlReader &parent,
                                        std::vector<fleet::Mistake> &mistakes)
{
    const auto node = parent.child("tls");
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    net::TlsSettings tls;
    fleet::YamlReader reader(node, "operators.tls", mistakes);
    tls.certificateFile = reader.requiredText("certificateFile");
    tls.keyFile = reader.requiredText("keyFile");
    reader.refuseUnknownFields();
    return tls;
}

std::optional<OperatorSettings> readOperators(fleet::YamlReader &parent,
                                              std::vector<fleet::Mistake> &mistakes)
{
    const auto node = parent.child("operators");
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    OperatorSettings operators;
    fleet::YamlReader reader(node, "operators", mistakes);
    operators.listen.address = reader.requiredText("address");
    operators.listen.port = static_cast<std::uint16_t>(reader.count("port", 0, 0, maxPort));
    operators.tls = readTls(reader, mistakes);
    const auto keys = reader.child("keys");
    for (std::size_t index = 0; keys.IsDefined() && index < keys.size(); ++index) {
        operators.keys.push_back(readOperatorKey(keys[index], index, mistakes));
    }
    reader.refuseUnknownFields();
    return operators;
}

} // namespace

EntrySettingsReading readEntrySettings(std::string_view yaml)
{
    EntrySettingsReading reading;
    auto &settings = reading.settings;
    try {
        const auto root = YAML::Load(std::string(yaml));
        fleet::YamlReader reader(root, "the settings", reading.mistakes);
        settings.entry = EntryId(reader.requiredText("entry"));
        settings.dataCentre = DataCentreId(reader.requiredText("dataCentre"));
        settings.host = readHost(reader, reading.mistakes);
        settings.callers = readListenAddress(reader, "callers", reading.mistakes);
        settings.peers = readPeers(reader, settings, reading.mistakes);
        settings.platformUrl = reader.requiredText("platform");
        settings.platformCallsPerSecond =
                reader.number("platformCallsPerSecond", settings.platformCallsPerSecond, 1,
                              maxPlatformCallsPerSecond);
        settings.operators = readOperators(reader, reading.mistakes);
        settings.threads = reader.count("threads", settings.threads, 1, maxThreads);
        settings.callerReadTimeout = std::chrono::milliseconds(reader.count(
                "callerReadTimeoutMs", 30000, minReadMilliseconds, maxReadMilliseconds));
        settings.reportGrace = std::chrono::milliseconds(
                reader.count("reportGraceMs", 5000, 0, maxReportGraceMilliseconds));
        settings.mostEntries = reader.count("mostEntries", settings.mostEntries, 1, maxEntries);
        settings.drainDelay = std::chrono::milliseconds(
                reader.count("drainDelayMs", 1000, 0, maxShutdownMilliseconds));
        settings.shutdownDeadline = std::chrono::milliseconds(
                reader.count("shutdownDeadlineMs", 30000, 1, maxShutdownMilliseconds));
        settings.longestWork = std::chrono::milliseconds(
                reader.count("longestWorkMs", 600000, 1, maxLongestWorkMilliseconds));
        reader.refuseUnknownFields();
    } catch (const YAML::Exception &error) {
        reading.mistakes.push_back({error.mark.line + 1, error.msg, "correct the YAML there"});
    }
    return reading;
}

} // namespace cyclamenlatch::app
