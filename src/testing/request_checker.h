#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "peridotcleat/caller.h"

namespace peridotcleat::testing {

/// Names a request in a whole run, whichever callers and targets it passes.
struct request_key {
    std::uint32_t caller = 0;
    std::uint64_t id = 0;

    auto operator<=>(const request_key&) const = default;
};

/// Body of the request `key`.
inline std::string request_body(const request_key& key)
{
    return std::to_string(key.caller) + '/' + std::to_string(key.id);
}

/// Reads what `request_body` wrote.
inline request_key parse_request_body(const std::string& body)
{
    const std::size_t slash = body.find('/');
    return {static_cast<std::uint32_t>(std::stoul(body)), std::stoull(body.substr(slash + 1))};
}

/// Answer of `length` bytes or more that only fits the request `key`.
inline std::string expected_answer(const request_key& key, std::size_t length)
{
    std::string text;
    while (text.size() < length || text.empty()) {
        text += request_body(key) + '#' + std::to_string(text.size()) + std::string(24, ';');
    }
    return text;
}

/// Judges a run of callers, targets and upstreams by what the upstreams ran and what the callers were told.
class request_checker {
public:
    void submitted(const request_key& key, bool idempotent) { requests_[key].idempotent = idempotent; }

    /// The upstream beside target `at` applies the request; its answer has `answer_length` bytes.
    void ran(const request_key& key, incarnation at, std::size_t answer_length)
    {
        entry& e = requests_[key];
        if (++e.runs > 1 && !e.idempotent) {
            report(key, "ran " + std::to_string(e.runs) + " times and is not idempotent");
        }
        if (e.finishes > 0 && e.status == request_status::not_run) {
            report(key, "ran after it was reported as not run");
        }
        e.at = at;
        e.answer_length = answer_length;
    }

    /// The upstream lost the result. Its target owes the caller nothing but "unknown", after which an
    /// idempotent request may run elsewhere.
    void result_lost(const request_key& key) { requests_[key].at = {}; }

    void finished(std::uint32_t caller, const finished_request& f)
    {
        const request_key key{caller, f.id};
        entry& e = requests_[key];
        e.status = f.status;
        if (++e.finishes > 1) {
            report(key, "finished " + std::to_string(e.finishes) + " times");
        }
        if (f.status == request_status::not_run && e.runs > 0) {
            report(key, std::string("reported as not run, ") + to_string(f.reason) + ", and ran");
        }
        if (f.status == request_status::answered &&
            (e.runs == 0 || f.body != expected_answer(key, e.answer_length))) {
            report(key, "got an answer of " + std::to_string(f.body.size()) + " bytes that is not its own");
        }
        if (f.status == request_status::failed && e.runs == 0) {
            report(key, "reported as failed, and did not run");
        }
        ++by_status_[f.status];
    }

    void cancelled(const request_key& key) { requests_[key].cancelled = true; }

    /// A target is stopped as planned: its callers must know the outcome of all that ran there.
    void planned_stop(incarnation at, std::size_t in_progress)
    {
        if (in_progress > 0) {
            violations_.push_back("planned stop of " + std::to_string(at.value) + " cuts off " +
                                  std::to_string(in_progress) + " requests");
        }
        for (const auto& [key, e] : requests_) {
            if (e.at == at && e.finishes == 0 && !e.cancelled) {
                report(key, "has no outcome at the planned stop of " + std::to_string(at.value));
            }
        }
    }

    /// A target starts a request `since` after it began to drain.
    void started_while_draining(incarnation at, std::chrono::microseconds since)
    {
        if (since > std::chrono::seconds(5)) {
            violations_.push_back("target " + std::to_string(at.value) + " starts work " +
                                  std::to_string(since.count()) + " us after it began to drain");
        }
    }

    /// Pushes of each flow are numbered from 1; `text` is `flow:number`.
    void pushed(const std::string& text)
    {
        const std::size_t colon = text.find(':');
        std::uint64_t& last = last_push_[text.substr(0, colon)];
        const std::uint64_t number = std::stoull(text.substr(colon + 1));
        if (number != last + 1) {
            violations_.push_back("push " + text + " follows number " + std::to_string(last));
        }
        last = number;
        ++pushes_;
    }

    /// Each of the `count` pushes of `flow` was acknowledged, so that the caller must have got it.
    void all_pushed(const std::string& flow, std::uint64_t count)
    {
        const auto it = last_push_.find(flow);
        const std::uint64_t last = it == last_push_.end() ? 0 : it->second;
        if (last != count) {
            violations_.push_back("flow " + flow + " got " + std::to_string(last) + " of " +
                                  std::to_string(count) + " pushes");
        }
    }

    void retries(std::uint32_t caller, std::uint64_t requests, std::uint64_t retries, std::uint32_t percent)
    {
        // Half a retry is the start of the budget.
        if (retries * 100 > requests * percent + 50) {
            violations_.push_back("caller " + std::to_string(caller) + " retried " + std::to_string(retries) +
                                  " times for " + std::to_string(requests) + " requests");
        }
    }

    /// Call once all deadlines have passed.
    void end_of_run()
    {
        for (const auto& [key, e] : requests_) {
            if (e.finishes == 0) {
                report(key, "never finished");
            }
        }
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::uint64_t count(request_status s) const
    {
        const auto it = by_status_.find(s);
        return it == by_status_.end() ? 0 : it->second;
    }
    [[nodiscard]] std::uint64_t pushes() const noexcept { return pushes_; }

private:
    struct entry {
        bool idempotent = false;
        bool cancelled = false;
        int runs = 0;
        int finishes = 0;
        request_status status = request_status::outcome_unknown;
        incarnation at;
        std::size_t answer_length = 0;
    };

    void report(const request_key& key, const std::string& what)
    {
        violations_.push_back("request " + request_body(key) + ' ' + what);
    }

    std::map<request_key, entry> requests_;
    std::map<std::string, std::uint64_t> last_push_;
    std::map<request_status, std::uint64_t> by_status_;
    std::uint64_t pushes_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace peridotcleat::testing
