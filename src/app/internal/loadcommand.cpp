// "load": sends requests at a given rate, whatever the answers, and checks every answer.
#include "app/commands.h"
#include "global/quantile.h"
#include "net/httpclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

#include "global/time.h"

DEFINE_string(urls, "http://127.0.0.1:8101", "load: entries to send to, separated by commas");
DEFINE_string(queue, "", "load: queue to send to");
DEFINE_string(key, "", "load: workspace key; empty for an open queue");
DEFINE_double(rate, 100, "load: requests per second over all entries");
DEFINE_double(seconds, 5, "load: how long to send");
DEFINE_int32(work_ms, 1, "load: milliseconds of work asked of the stand-in minion");
DEFINE_int32(timeout_ms, 5000, "load: deadline of each request in milliseconds");

namespace cyclamenlatch::app {

namespace {

struct LoadCounts
{
    std::uint64_t sent = 0;
    std::uint64_t completed = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    // No reply from an entry, or one without an outcome.
    std::uint64_t lost = 0;
    // A completed answer that belongs to another request, or is not whole.
    std::uint64_t wrong = 0;
    std::vector<double> latencyMilliseconds;
};

std::vector<std::string> splitByComma(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        parts.push_back(part);
    }
    return parts;
}

// Sends requests and waits for their ends. Lock order: m_mutex is the only lock.
class LoadRun
{
public:
    LoadCounts run()
    {
        const auto urls = splitByComma(FLAGS_urls);
        const auto total = static_cast<std::uint64_t>(FLAGS_rate * FLAGS_seconds);
        const auto start = steadyNow();
        for (std::uint64_t index = 0; index < total; ++index) {
            const auto due = start
                             + std::chrono::nanoseconds(static_cast<std::int64_t>(
                                     static_cast<double>(index) / FLAGS_rate * 1e9));
            std::this_thread::sleep_until(due);
            send(urls[index % urls.size()], index, due);
        }
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this, total] { return m_ended == total; });
        m_counts.sent = total;
        return m_counts;
    }

private:
    void send(const std::string &url, std::uint64_t index, TimePoint due)
    {
        const auto nonce = fmt::format("n-{}", index);
        net::HttpCall call;
        call.method = "POST";
        call.url = fmt::format("{}/v1/queues/{}/requests", url, FLAGS_queue);
        call.timeout = std::chrono::milliseconds(FLAGS_timeout_ms + 1000);
        if (!FLAGS_key.empty()) {
            call.headers.add("Authorization", "Bearer " + FLAGS_key);
        }
        call.headers.add("Request-Timeout-Ms", std::to_string(FLAGS_timeout_ms));
        call.body = nlohmann::json{{"nonce", nonce}, {"workMs", FLAGS_work_ms}}.dump();
        m_http.send(std::move(call), [this, nonce, due](const net::HttpCallResult &result) {
            count(result, nonce, due);
        });
    }

    void count(const net::HttpCallResult &result, const std::string &nonce, TimePoint due)
    {
        const std::lock_guard lock(m_mutex);
        ++m_ended;
        countOutcome(result, nonce, due);
        m_changed.notify_one();
    }

    void countOutcome(const net::HttpCallResult &result, const std::string &nonce, TimePoint due)
    {
        if (!result.reply) {
            ++m_counts.lost;
            return;
        }
        const auto outcome = result.reply->headers.find("Cyclamenlatch-Outcome").value_or("");
        if (outcome == "not-run") {
            ++m_counts.notRun;
        } else if (outcome == "unknown") {
            ++m_counts.unknown;
        } else if (outcome == "completed") {
            ++m_counts.completed;
            m_counts.latencyMilliseconds.push_back(toSeconds(steadyNow() - due) * 1000);
            const auto body = nlohmann::json::parse(result.reply->body, nullptr, false);
            const bool own = body.is_object() && body.value("nonce", "") == nonce;
            m_counts.wrong += own ? 0 : 1;
        } else {
            ++m_counts.lost;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    // Guarded by m_mutex.
    LoadCounts m_counts;
    // Guarded by m_mutex.
    std::uint64_t m_ended = 0;
    net::HttpClient m_http{256};
};

} // namespace

int runLoad()
{
    if (FLAGS_queue.empty() || FLAGS_rate <= 0) {
        std::cerr << "load needs --queue NAME and a positive --rate\n";
        return exitUsage;
    }
    const auto counts = LoadRun().run();
    const nlohmann::json line{
            {"sent", counts.sent},
            {"completed", counts.completed},
            {"notRun", counts.notRun},
            {"unknown", counts.unknown},
            {"lost", counts.lost},
            {"wrong", counts.wrong},
            {"p50Ms", quantile(counts.latencyMilliseconds, 0.5)},
            {"p99Ms", quantile(counts.latencyMilliseconds, 0.99)},
    };
    std::cout << line.dump() << "\n";
    return counts.lost + counts.wrong == 0 ? exitSuccess : exitFailure;
}

} // namespace cyclamenlatch::app
