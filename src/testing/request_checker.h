#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "peridotcleat/caller.h"

namespace peridotcleat::testing {

/// Identifies a request within a run, independent of the flows and targets that it is sent to.
struct request_key {
    std::uint32_t caller = 0;
    std::uint64_t id = 0;

    auto operator<=>(const request_key&) const = default;
};

/// Returns the body of the request `key`.
inline std::string request_body(const request_key& key)
{
    return std::to_string(key.caller) + '/' + std::to_string(key.id);
}

/// Parses a body that `request_body` returned.
inline request_key parse_request_body(const std::string& body)
{
    const std::size_t slash = body.find('/');
    return {static_cast<std::uint32_t>(std::stoul(body)), std::stoull(body.substr(slash + 1))};
}

/// Returns the answer to the request `key`. It has at least `length` bytes and differs from the answer to any
/// other request.
inline std::string expected_answer(const request_key& key, std::size_t length)
{
    std::string text;
    while (text.size() < length || text.empty()) {
        text += request_body(key) + '#' + std::to_string(text.size()) + std::string(24, ';');
    }
    return text;
}

/// Checks the guarantees of the request path during a run: compares the requests that the upstreams ran with
/// the outcomes that the callers reported. Violations are collected as text.
class request_checker {
public:
    void on_submitted(const request_key& key, bool idempotent) { requests_[key].idempotent = idempotent; }

    /// The upstream of `target` runs the request, whose answer is `expected_answer(key, answer_length)`.
    void on_run(const request_key& key, incarnation target, std::size_t answer_length)
    {
        request_history& history = requests_[key];
        if (++history.runs > 1 && !history.idempotent) {
            report(key, "ran " + std::to_string(history.runs) + " times and is not idempotent");
        }
        if (history.finishes > 0 && history.status == request_status::not_run) {
            report(key, "ran after it was reported as not run");
        }
        history.target = target;
        history.answer_length = answer_length;
    }

    /// The upstream lost the result. Its target can only report an unknown outcome, after which an idempotent
    /// request may run at another target.
    void on_result_lost(const request_key& key) { requests_[key].target = {}; }

    void on_finished(std::uint32_t caller, const finished_request& f)
    {
        const request_key key{caller, f.id};
        request_history& history = requests_[key];
        history.status = f.status;
        if (++history.finishes > 1) {
            report(key, "finished " + std::to_string(history.finishes) + " times");
        }
        if (f.status == request_status::not_run && history.runs > 0) {
            report(key, std::string("reported as not run, ") + to_string(f.reason) + ", but ran");
        }
        if (f.status == request_status::answered &&
            (history.runs == 0 || f.body != expected_answer(key, history.answer_length))) {
            report(key, "got an answer of " + std::to_string(f.body.size()) +
                            " bytes that does not match the request");
        }
        if (f.status == request_status::failed && history.runs == 0) {
            report(key, "reported as failed, but did not run");
        }
        ++count_by_status_[f.status];
    }

    void on_cancelled(const request_key& key) { requests_[key].cancelled = true; }

    /// A target stops as planned: no request may be in progress there, and the callers must know the outcome
    /// of each request that ran there, unless they cancelled it.
    void on_planned_stop(incarnation target, std::size_t in_progress)
    {
        if (in_progress > 0) {
            violations_.push_back("planned stop of target " + std::to_string(target.value) + " aborts " +
                                  std::to_string(in_progress) + " requests");
        }
        for (const auto& [key, history] : requests_) {
            if (history.target == target && history.finishes == 0 && !history.cancelled) {
                report(key, "has no outcome at the planned stop of target " + std::to_string(target.value));
            }
        }
    }

    /// A target starts a request `elapsed` after it began to drain; at most 5 s are permitted.
    void on_start_while_draining(incarnation target, std::chrono::microseconds elapsed)
    {
        if (elapsed > std::chrono::seconds(5)) {
            violations_.push_back("target " + std::to_string(target.value) + " starts a request " +
                                  std::to_string(elapsed.count()) + " us after it began to drain");
        }
    }

    /// A caller got a push. The pushes of each flow are numbered from 1; `text` is `flow:number`.
    void on_push(const std::string& text)
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

    /// Checks that the caller got all `count` pushes of `flow`. Call once all of them are acknowledged.
    void check_all_pushed(const std::string& flow, std::uint64_t count)
    {
        const auto it = last_push_.find(flow);
        const std::uint64_t last = it == last_push_.end() ? 0 : it->second;
        if (last != count) {
            violations_.push_back("flow " + flow + " got " + std::to_string(last) + " of " +
                                  std::to_string(count) + " pushes");
        }
    }

    /// Checks the retries of a caller against its retry budget.
    void check_retries(std::uint32_t caller, std::uint64_t requests, std::uint64_t retries,
                       std::uint32_t percent)
    {
        // The budget starts with half a retry.
        if (retries * 100 > requests * percent + 50) {
            violations_.push_back("caller " + std::to_string(caller) + " retried " + std::to_string(retries) +
                                  " times for " + std::to_string(requests) + " requests");
        }
    }

    /// Checks that each request was finished. Call once all deadlines have passed.
    void check_all_finished()
    {
        for (const auto& [key, history] : requests_) {
            if (history.finishes == 0) {
                report(key, "never finished");
            }
        }
    }

    [[nodiscard]] const std::vector<std::string>& violations() const noexcept { return violations_; }
    [[nodiscard]] std::uint64_t count(request_status s) const
    {
        const auto it = count_by_status_.find(s);
        return it == count_by_status_.end() ? 0 : it->second;
    }
    [[nodiscard]] std::uint64_t pushes() const noexcept { return pushes_; }

private:
    struct request_history {
        bool idempotent = false;
        bool cancelled = false;
        int runs = 0;
        int finishes = 0;
        request_status status = request_status::outcome_unknown;
        incarnation target;
        std::size_t answer_length = 0;
    };

    void report(const request_key& key, const std::string& violation)
    {
        violations_.push_back("request " + request_body(key) + ' ' + violation);
    }

    std::map<request_key, request_history> requests_;
    std::map<std::string, std::uint64_t> last_push_;
    std::map<request_status, std::uint64_t> count_by_status_;
    std::uint64_t pushes_ = 0;
    std::vector<std::string> violations_;
};

}  // namespace peridotcleat::testing
