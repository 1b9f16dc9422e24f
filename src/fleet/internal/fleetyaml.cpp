// The YAML form of the fleet document.
#include "fleet/fleetyaml.h"

#include "fleet/internal/unmeetable.h"
#include "fleet/internal/utf8text.h"
#include "fleet/yamlreader.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace cyclamenlatch::fleet {

namespace {

constexpr unsigned maxSlots = 4096;
constexpr unsigned maxLimit = 1000000;
constexpr double maxWeight = 1e6;
constexpr double maxMoveSeconds = 3600;
constexpr unsigned maxTimeoutMilliseconds = 3600000;

using detail::ItemLines;

// Reads one section: a sequence of mappings, each turned into an item by readItem.
template<typename Item, typename ReadItem>
std::vector<Item> readSection(YamlReader &root, const std::string &section,
                              std::vector<Mistake> &mistakes, ItemLines &lines,
                              const ReadItem &readItem)
{
    std::vector<Item> items;
    std::set<std::string> names;
    const auto nodes = root.child(section);
    if (!nodes.IsDefined()) {
        return items;
    }
    if (!nodes.IsSequence()) {
        root.addMistake(nodes.Mark().line + 1, fmt::format("\"{}\" is not a list", section),
                        "write one item per \"- name: ...\"");
        return items;
    }
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        YamlReader reader(nodes[index], fmt::format("{}[{}]", section, index), mistakes);
        Item item = readItem(reader);
        reader.refuseUnknownFields();
        if (!item.id.empty() && !names.insert(item.id.value()).second) {
            reader.addMistake(
                    reader.line(),
                    fmt::format("{} has two items named \"{}\"", section, item.id.value()),
                    "remove or rename one of them");
        }
        lines.emplace(section + "/" + item.id.value(), reader.line());
        items.push_back(std::move(item));
    }
    return items;
}

DataCentre readDataCentre(YamlReader &reader)
{
    DataCentre dataCentre;
    dataCentre.id = DataCentreId(reader.requiredText("name"));
    dataCentre.region = reader.text("region", "default");
    return dataCentre;
}

LendingPolicy readLending(YamlReader &reader)
{
    LendingPolicy lending;
    lending.automatic = reader.flag("lendAutomatically", lending.automatic);
    lending.movesWeight = reader.number("movesWeight", lending.movesWeight, 0, maxWeight);
    lending.bufferWeight = reader.number("bufferWeight", lending.bufferWeight, 0, maxWeight);
    lending.hysteresis = reader.number("hysteresis", lending.hysteresis, 1, maxWeight);
    lending.moveSeconds = reader.number("moveSeconds", lending.moveSeconds, 0.1, maxMoveSeconds);
    return lending;
}

Pool readPool(YamlReader &reader)
{
    Pool pool;
    pool.id = PoolId(reader.requiredText("name"));
    pool.spare = reader.flag("spare", false);
    pool.weight = reader.number("weight", pool.weight, 1e-6, maxWeight);
    if (pool.spare) {
        pool.lending = readLending(reader);
    }
    return pool;
}

Labels readLabels(YamlReader &reader)
{
    Labels labels;
    const auto node = reader.child("labels");
    if (!node.IsDefined()) {
        return labels;
    }
    if (!node.IsMap()) {
        reader.addMistake(node.Mark().line + 1, "\"labels\" is not a mapping",
                          "write it as {label: value}");
        return labels;
    }
    for (const auto &pair : node) {
        if (!pair.second.IsScalar()) {
            reader.addMistake(pair.first.Mark().line + 1, "a label's value is not text",
                              "write one value per label");
            continue;
        }
        labels[pair.first.Scalar()] = pair.second.Scalar();
    }
    return labels;
}

Worker readWorker(YamlReader &reader)
{
    Worker worker;
    worker.id = WorkerId(reader.requiredText("name"));
    worker.dataCentre = DataCentreId(reader.requiredText("dataCentre"));
    worker.rack = RackId(reader.requiredText("rack"));
    worker.pool = PoolId(reader.requiredText("pool"));
    worker.minionAddress = reader.requiredText("minion");
    worker.slots = reader.count("slots", 8, 1, maxSlots);
    worker.resources.processors = reader.number("processors", 0, 0);
    worker.resources.memoryMib = reader.number("memoryMib", 0, 0);
    worker.resources.accelerators = reader.count("accelerators", 0, 0, maxSlots);
    worker.labels = readLabels(reader);
    return worker;
}

Service readService(YamlReader &reader)
{
    Service service;
    service.id = ServiceId(reader.requiredText("name"));
    service.pool = PoolId(reader.requiredText("pool"));
    service.maxUnavailable = reader.count("maxUnavailable", 1, 0, maxLimit);
    service.objective = reader.number("objective", 0.999, 0.0, 0.999999);
    return service;
}

Queue readQueue(YamlReader &reader)
{
    Queue queue;
    queue.id = QueueId(reader.requiredText("name"));
    queue.service = ServiceId(reader.requiredText("service"));
    const auto selector = Selector::parse(reader.text("selector", ""));
    if (selector) {
        queue.selector = selector.value();
    } else {
        reader.addMistake(reader.line(), selector.error().message, selector.error().remedy);
    }
    queue.open = reader.flag("open", false);
    queue.urgent = reader.flag("urgent", false);
    queue.idempotent = reader.flag("idempotent", false);
    queue.timeout =
            std::chrono::milliseconds(reader.count("timeoutMs", 30000, 1, maxTimeoutMilliseconds));
    return queue;
}

Workspace readWorkspace(YamlReader &reader)
{
    Workspace workspace;
    workspace.id = WorkspaceId(reader.requiredText("name"));
    workspace.weight = reader.number("weight", 1, 1e-6, maxWeight);
    workspace.limit = reader.count("limit", 1, 0, maxLimit);
    workspace.waitingJobs = reader.count("waitingJobs", workspace.waitingJobs, 0, maxLimit);
    workspace.serveWhenIsolated = reader.flag("serveWhenIsolated", false);
    return workspace;
}

Key readKey(YamlReader &reader)
{
    Key key;
    key.id = KeyId(reader.requiredText("name"));
    key.workspace = WorkspaceId(reader.requiredText("workspace"));
    key.hash = reader.requiredText("hash");
    return key;
}

template<typename Item>
std::set<std::string> namesOf(const std::vector<Item> &items)
{
    std::set<std::string> names;
    for (const auto &item : items) {
        names.insert(item.id.value());
    }
    return names;
}

// Collects the mistakes between items, each with the line of the item that makes it.
class CrossCheck
{
public:
    CrossCheck(const FleetDocument &document, const ItemLines &lines,
               std::vector<Mistake> &mistakes)
        : m_document(document)
        , m_lines(lines)
        , m_mistakes(mistakes)
    {}

    void run()
    {
        checkWorkers();
        checkServices();
        checkQueues();
        const auto workspaces = namesOf(m_document.workspaces);
        for (const auto &key : m_document.keys) {
            requireReference(workspaces, key.workspace.value(), "keys", key.id.value(),
                             "workspace");
        }
    }

private:
    void add(const std::string &section, const std::string &name, const std::string &message,
             std::string remedy)
    {
        const auto line = m_lines.find(section + "/" + name);
        m_mistakes.push_back({line == m_lines.end() ? 0 : line->second,
                              fmt::format("{} \"{}\" {}", section, name, message),
                              std::move(remedy)});
    }

    void requireReference(const std::set<std::string> &names, const std::string &name,
                          const std::string &section, const std::string &from,
                          std::string_view kind)
    {
        if (name.empty() || names.contains(name)) {
            return;
        }
        add(section, from, fmt::format("names the {} \"{}\", which does not exist", kind, name),
            fmt::format("add the {} or correct the name", kind));
    }

    void checkWorkers()
    {
        const auto dataCentres = namesOf(m_document.dataCentres);
        const auto pools = namesOf(m_document.pools);
        std::map<std::string, std::string> workersByAddress;
        for (const auto &worker : m_document.workers) {
            const auto &name = worker.id.value();
            requireReference(dataCentres, worker.dataCentre.value(), "workers", name,
                             "data centre");
            requireReference(pools, worker.pool.value(), "workers", name, "pool");
            m_workersByPool[worker.pool].push_back(&worker);
            const auto known = workersByAddress.emplace(worker.minionAddress, name);
            if (!known.second && !worker.minionAddress.empty()) {
                add("workers", name,
                    fmt::format("has the minion address of \"{}\"", known.first->second),
                    "give each worker its own address");
            }
        }
    }

    void checkServices()
    {
        const auto pools = namesOf(m_document.pools);
        for (const auto &service : m_document.services) {
            requireReference(pools, service.pool.value(), "services", service.id.value(), "pool");
            m_poolOfService[service.id] = service.pool;
            const auto size = m_workersByPool[service.pool].size();
            // A pool of one worker could never be maintained without an outage of its service.
            if (size > 1 && service.maxUnavailable >= size) {
                add("services", service.id.value(),
                    fmt::format("lets {} of the pool's {} workers be out at once",
                                service.maxUnavailable, size),
                    fmt::format("set maxUnavailable to at most {}", size - 1));
            }
        }
    }

    void checkQueues()
    {
        const auto services = namesOf(m_document.services);
        for (const auto &queue : m_document.queues) {
            requireReference(services, queue.service.value(), "queues", queue.id.value(),
                             "service");
            const auto &workers = m_workersByPool[m_poolOfService[queue.service]];
            const bool matchesOne = std::any_of(workers.begin(), workers.end(), [&](auto *worker) {
                return queue.selector.matches(worker->labels);
            });
            if (!workers.empty() && !matchesOne) {
                add("queues", queue.id.value(),
                    fmt::format("has the selector \"{}\", which matches no worker of its pool",
                                queue.selector.toString()),
                    "correct the selector or label a worker");
            }
        }
    }

    const FleetDocument &m_document;
    const ItemLines &m_lines;
    std::vector<Mistake> &m_mistakes;
    std::map<PoolId, std::vector<const Worker *>> m_workersByPool;
    std::map<ServiceId, PoolId> m_poolOfService;
};

void readSections(const YAML::Node &root, FleetReading &reading, ItemLines &lines)
{
    auto &document = reading.document;
    auto &mistakes = reading.mistakes;
    YamlReader reader(root, "the fleet document", mistakes);
    document.dataCentres =
            readSection<DataCentre>(reader, "dataCentres", mistakes, lines, readDataCentre);
    document.pools = readSection<Pool>(reader, "pools", mistakes, lines, readPool);
    document.workers = readSection<Worker>(reader, "workers", mistakes, lines, readWorker);
    document.services = readSection<Service>(reader, "services", mistakes, lines, readService);
    document.queues = readSection<Queue>(reader, "queues", mistakes, lines, readQueue);
    document.workspaces =
            readSection<Workspace>(reader, "workspaces", mistakes, lines, readWorkspace);
    document.keys = readSection<Key>(reader, "keys", mistakes, lines, readKey);
    reader.refuseUnknownFields();
}

void writeLabels(YAML::Emitter &out, const Labels &labels)
{
    out << YAML::Key << "labels" << YAML::Value << YAML::Flow << YAML::BeginMap;
    for (const auto &[label, value] : labels) {
        out << YAML::Key << label << YAML::Value << value;
    }
    out << YAML::EndMap;
}

template<typename Value>
void writeField(YAML::Emitter &out, const char *field, const Value &value)
{
    out << YAML::Key << field << YAML::Value << value;
}

void writeLending(YAML::Emitter &out, const LendingPolicy &lending)
{
    writeField(out, "lendAutomatically", lending.automatic);
    writeField(out, "movesWeight", lending.movesWeight);
    writeField(out, "bufferWeight", lending.bufferWeight);
    writeField(out, "hysteresis", lending.hysteresis);
    writeField(out, "moveSeconds", lending.moveSeconds);
}

template<typename Item, typename WriteItem>
void writeSection(YAML::Emitter &out, const char *section, const std::vector<Item> &items,
                  const WriteItem &writeItem)
{
    if (items.empty()) {
        return;
    }
    out << YAML::Key << section << YAML::Value << YAML::BeginSeq;
    for (const auto &item : items) {
        out << YAML::Flow << YAML::BeginMap;
        writeField(out, "name", item.id.value());
        writeItem(item);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

template<typename Item>
void append(std::vector<Item> &items, std::vector<Item> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(items));
}

void appendDocument(FleetDocument &document, FleetDocument more)
{
    append(document.dataCentres, std::move(more.dataCentres));
    append(document.pools, std::move(more.pools));
    append(document.workers, std::move(more.workers));
    append(document.services, std::move(more.services));
    append(document.queues, std::move(more.queues));
    append(document.workspaces, std::move(more.workspaces));
    append(document.keys, std::move(more.keys));
}

// Writes one section, halving the number of items in a part until each part is small enough.
template<typename Item>
void writeParts(const FleetDocument &document, std::vector<Item> FleetDocument::*section,
                std::size_t maxBytes, std::vector<std::string> &parts)
{
    const auto &items = document.*section;
    std::size_t first = 0;
    std::size_t count = items.size();
    while (first < items.size()) {
        count = std::min(count, items.size() - first);
        FleetDocument part;
        (part.*section).assign(items.begin() + first, items.begin() + first + count);
        auto text = writeFleet(part);
        if (text.size() > maxBytes && count > 1) {
            count = count / 2;
            continue;
        }
        parts.push_back(std::move(text));
        first += count;
    }
}

} // namespace

FleetReading readFleet(std::string_view yaml)
{
    FleetReading reading;
    if (const auto line = detail::lineOfInvalidUtf8(yaml)) {
        reading.mistakes.push_back(
                {*line, "the text is not UTF-8", "save the document with the encoding UTF-8"});
        return reading;
    }
    ItemLines lines;
    try {
        readSections(YAML::Load(std::string(yaml)), reading, lines);
    } catch (const YAML::Exception &error) {
        reading.mistakes.push_back({error.mark.line + 1, error.msg, "correct the YAML there"});
        return reading;
    }
    CrossCheck(reading.document, lines, reading.mistakes).run();
    if (reading.mistakes.empty()) {
        reading.notices = detail::findUnmeetable(reading.document, lines);
    }
    reading.document.buildIndex();
    return reading;
}

FleetReading readFleetParts(const std::vector<std::string> &parts)
{
    FleetReading whole;
    // Lines of a part are of no use to an operator.
    ItemLines lines;
    for (const auto &part : parts) {
        FleetReading reading;
        try {
            readSections(YAML::Load(part), reading, lines);
        } catch (const YAML::Exception &error) {
            reading.mistakes.push_back({0, error.msg, "apply the fleet document again"});
        }
        std::move(reading.mistakes.begin(), reading.mistakes.end(),
                  std::back_inserter(whole.mistakes));
        appendDocument(whole.document, std::move(reading.document));
    }
    CrossCheck(whole.document, {}, whole.mistakes).run();
    whole.document.buildIndex();
    return whole;
}

std::vector<std::string> writeFleetParts(const FleetDocument &document, std::size_t maxBytes)
{
    std::vector<std::string> parts;
    writeParts(document, &FleetDocument::dataCentres, maxBytes, parts);
    writeParts(document, &FleetDocument::pools, maxBytes, parts);
    writeParts(document, &FleetDocument::workers, maxBytes, parts);
    writeParts(document, &FleetDocument::services, maxBytes, parts);
    writeParts(document, &FleetDocument::queues, maxBytes, parts);
    writeParts(document, &FleetDocument::workspaces, maxBytes, parts);
    writeParts(document, &FleetDocument::keys, maxBytes, parts);
    return parts;
}

std::string writeFleet(const FleetDocument &document)
{
    YAML::Emitter out;
    out << YAML::BeginMap;
    writeSection(out, "dataCentres", document.dataCentres,
                 [&out](const DataCentre &item) { writeField(out, "region", item.region); });
    writeSection(out, "pools", document.pools, [&out](const Pool &item) {
        writeField(out, "spare", item.spare);
        writeField(out, "weight", item.weight);
        if (item.spare) {
            writeLending(out, item.lending);
        }
    });
    writeSection(out, "workers", document.workers, [&out](const Worker &item) {
        writeField(out, "dataCentre", item.dataCentre.value());
        writeField(out, "rack", item.rack.value());
        writeField(out, "pool", item.pool.value());
        writeField(out, "minion", item.minionAddress);
        writeField(out, "slots", item.slots);
        writeField(out, "processors", item.resources.processors);
        writeField(out, "memoryMib", item.resources.memoryMib);
        writeField(out, "accelerators", item.resources.accelerators);
        writeLabels(out, item.labels);
    });
    writeSection(out, "services", document.services, [&out](const Service &item) {
        writeField(out, "pool", item.pool.value());
        writeField(out, "maxUnavailable", item.maxUnavailable);
        writeField(out, "objective", item.objective);
    });
    writeSection(out, "queues", document.queues, [&out](const Queue &item) {
        writeField(out, "service", item.service.value());
        writeField(out, "selector", item.selector.toString());
        writeField(out, "open", item.open);
        writeField(out, "urgent", item.urgent);
        writeField(out, "idempotent", item.idempotent);
        writeField(out, "timeoutMs", item.timeout.count());
    });
    writeSection(out, "workspaces", document.workspaces, [&out](const Workspace &item) {
        writeField(out, "weight", item.weight);
        writeField(out, "limit", item.limit);
        writeField(out, "waitingJobs", item.waitingJobs);
        writeField(out, "serveWhenIsolated", item.serveWhenIsolated);
    });
    writeSection(out, "keys", document.keys, [&out](const Key &item) {
        writeField(out, "workspace", item.workspace.value());
        writeField(out, "hash", item.hash);
    });
    out << YAML::EndMap;
    return std::string(out.c_str()) + "\n";
}

} // namespace cyclamenlatch::fleet
