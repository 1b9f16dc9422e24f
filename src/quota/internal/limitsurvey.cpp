// Sends questions, collects answers and ends surveys.
#include "quota/limitsurvey.h"

#include "quota/internal/limitsurveymessage.h"

#include <algorithm>
#include <utility>

namespace cyclamenlatch::quota {

namespace {

using detail::LimitSurveyMessage;
using membership::PeerTopic;

constexpr std::chrono::seconds patience{1};

} // namespace

LimitSurvey::LimitSurvey(asio::io_context &context, membership::PeerBus &bus, QuotaTable &table)
    : m_context(context)
    , m_bus(bus)
    , m_table(table)
{
    m_bus.subscribe(PeerTopic::LimitSurvey,
                    [this](const membership::PeerMessage &message) { receive(message); });
}

void LimitSurvey::ask(const std::vector<membership::Member> &live, Completion completion)
{
    auto survey = std::make_shared<Survey>(m_context);
    survey->completion = std::move(completion);
    survey->missing = live.size();
    survey->entries.push_back({m_bus.self().entry, m_bus.self().dataCentre, true, ownUses()});
    for (const auto &member : live) {
        survey->entries.push_back({member.address.entry, member.address.dataCentre, false, {}});
    }
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        number = ++m_last;
        m_open[number] = survey;
        survey->timer.expires_after(live.empty() ? std::chrono::seconds(0) : patience);
        survey->timer.async_wait([this, number](const asio::error_code &error) {
            if (!error) {
                finish(number);
            }
        });
    }
    for (const auto &member : live) {
        m_bus.sendValue(member.address.entry, PeerTopic::LimitSurvey,
                        LimitSurveyMessage{number, false, {}});
    }
}

void LimitSurvey::receive(const membership::PeerMessage &message)
{
    auto body = membership::decode<LimitSurveyMessage>(message.body);
    if (!body) {
        return;
    }
    if (body->isAnswer) {
        return takeAnswer(message.from, body->number, std::move(body->uses));
    }
    m_bus.sendValue(message.from, PeerTopic::LimitSurvey,
                    LimitSurveyMessage{body->number, true, ownUses()});
}

void LimitSurvey::takeAnswer(const EntryId &from, std::uint64_t number, std::vector<LimitUse> uses)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto open = m_open.find(number);
        if (open == m_open.end()) {
            return;
        }
        auto &entries = open->second->entries;
        const auto entry = std::find_if(entries.begin(), entries.end(), [&](const auto &known) {
            return known.entry == from && !known.answered;
        });
        if (entry == entries.end()) {
            return;
        }
        entry->answered = true;
        entry->uses = std::move(uses);
        if (--open->second->missing > 0) {
            return;
        }
    }
    finish(number);
}

void LimitSurvey::finish(std::uint64_t number)
{
    std::shared_ptr<Survey> survey;
    {
        const std::lock_guard lock(m_mutex);
        const auto open = m_open.find(number);
        if (open == m_open.end()) {
            return;
        }
        survey = std::move(open->second);
        m_open.erase(open);
        survey->timer.cancel();
    }
    survey->completion(survey->entries);
}

std::vector<LimitUse> LimitSurvey::ownUses() const
{
    return m_table.inspect([](const QuotaAgent &agent) {
        std::vector<LimitUse> uses;
        for (const auto &resource : agent.node().resources()) {
            const auto use = agent.node().use(resource);
            const bool used = use.held > 0 || use.running > 0;
            if (resource.kind == QuotaKind::WorkspaceLimit && used) {
                uses.push_back({resource.name, use.held, use.running});
            }
        }
        return uses;
    });
}

} // namespace cyclamenlatch::quota
