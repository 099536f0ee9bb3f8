#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "peridotcleat/replica.h"

namespace peridotcleat::testing {

/// An in-memory disk of one replica. It outlives the replica's process and supports fault injection.
class fake_disk_content {
public:
    fake_disk_content(cluster_id cluster, std::string node, std::uint64_t seed) : random_(seed)
    {
        durable_.identity = {cluster, std::move(node), folder_id{}};
        wipe();
    }

    /// Erases the disk, which gets a new folder id.
    void wipe()
    {
        const folder_identity old = durable_.identity;
        durable_ = {};
        durable_.identity = {old.cluster, old.node,
                             folder_id{static_cast<std::int64_t>(random_() >> 2U) | 1}};
        current_ = durable_;
        pending_.clear();
        failed_ = corrupt_ = false;
    }
    /// Simulates a crash of the process: a random number of the unsynced writes, counted from the first,
    /// survives. A torn record counts as not written.
    void crash()
    {
        const std::size_t kept = random_() % (pending_.size() + 1);
        for (std::size_t i = 0; i < kept; ++i) {
            apply(durable_, pending_[i]);
        }
        discard_pending();
    }
    /// Simulates a crash of the process that loses all unsynced writes.
    void lose_unsynced() { discard_pending(); }
    /// Simulates a flipped byte in the middle of the log: `load` fails from now on.
    void flip_byte() { corrupt_ = true; }
    void fail_next_sync() { fail_sync_ = true; }
    void fail_next_write() { fail_write_ = true; }
    /// While the disk is full, all writes fail, also those after a restart of the process.
    void set_full(bool full) { full_ = full; }
    /// Sets the duration of the next sync. The host simulates it with the value that `take_delay` returns.
    void delay_next_sync(std::chrono::milliseconds delay) { delay_ = delay; }
    [[nodiscard]] std::chrono::milliseconds take_delay()
    {
        return std::exchange(delay_, std::chrono::milliseconds(0));
    }

    [[nodiscard]] const stored_state& durable() const noexcept { return durable_; }
    /// The state that the process has written, synced or not.
    [[nodiscard]] const stored_state& current() const noexcept { return current_; }
    [[nodiscard]] std::int64_t folder() const noexcept { return durable_.identity.folder.value; }
    [[nodiscard]] bool corrupt() const noexcept { return corrupt_; }
    [[nodiscard]] bool has_unsynced() const noexcept { return !pending_.empty(); }

    result<success> write(pvt::staged_write w)
    {
        if (failed_ || full_ || std::exchange(fail_write_, false)) {
            failed_ = true;
            return error{error_code::write_failed, "injected write failure"};
        }
        apply(current_, w);
        pending_.push_back(std::move(w));
        return success{};
    }
    result<success> sync()
    {
        if (failed_ || std::exchange(fail_sync_, false)) {
            failed_ = true;
            return error{error_code::sync_failed, "injected sync failure"};
        }
        for (const auto& w : pending_) {
            apply(durable_, w);
        }
        pending_.clear();
        return success{};
    }
    [[nodiscard]] result<stored_state> load() const
    {
        if (corrupt_) {
            return error{error_code::log_corrupt, "injected byte flip"};
        }
        return durable_;
    }

private:
    void discard_pending()
    {
        pending_.clear();
        current_ = durable_;
        failed_ = fail_sync_ = fail_write_ = false;
        delay_ = std::chrono::milliseconds(0);
    }

    static void apply(stored_state& s, const pvt::staged_write& w)
    {
        if (const auto* hard = std::get_if<hard_state>(&w)) {
            s.hard = *hard;
        } else if (const auto* entries = std::get_if<std::vector<wire::log_entry>>(&w)) {
            s.entries.insert(s.entries.end(), entries->begin(), entries->end());
        } else if (const auto* cut = std::get_if<pvt::truncation>(&w)) {
            std::erase_if(s.entries, [&](const auto& e) { return e.index >= cut->from; });
        } else {
            const auto& snapshot = std::get<stored_snapshot>(w);
            const bool log_matches = std::any_of(s.entries.begin(), s.entries.end(), [&](const auto& e) {
                return e.index == snapshot.index && e.term == snapshot.term;
            });
            std::erase_if(s.entries,
                          [&](const auto& e) { return !log_matches || e.index <= snapshot.index; });
            s.snapshot = snapshot;
        }
    }

    std::mt19937_64 random_;
    stored_state durable_;
    stored_state current_;
    std::vector<pvt::staged_write> pending_;
    std::chrono::milliseconds delay_{0};
    bool fail_sync_ = false;
    bool fail_write_ = false;
    bool failed_ = false;
    bool full_ = false;
    bool corrupt_ = false;
};

/// Storage of a replica that writes to a `fake_disk_content`.
class fake_disk {
public:
    explicit fake_disk(std::shared_ptr<fake_disk_content> content) : content_(std::move(content)) {}

    result<stored_state> load() { return content_->load(); }
    result<success> write_hard_state(const hard_state& hard) { return content_->write(hard); }
    result<success> append(const std::vector<wire::log_entry>& entries) { return content_->write(entries); }
    result<success> truncate_from(std::int64_t index) { return content_->write(pvt::truncation{index}); }
    result<success> write_snapshot(const stored_snapshot& snapshot) { return content_->write(snapshot); }
    result<success> sync() { return content_->sync(); }

private:
    std::shared_ptr<fake_disk_content> content_;
};

}  // namespace peridotcleat::testing
