#include "peridotcleat/bucket_directory.h"

#include <algorithm>
#include <chrono>

#include "peridotcleat/held_flows.h"

namespace peridotcleat::pvt {

namespace {

// Bounds the memory for entries in doubt; beyond it the oldest one is removed early.
constexpr std::size_t max_in_doubt = 16384;
// A query is repeated after the first interval, and then after twice the previous interval up to the largest
// one, so that a report is completed even if a round trip takes longer than the first interval.
constexpr std::chrono::milliseconds first_query_interval{100};
constexpr std::chrono::milliseconds max_query_interval{800};
constexpr std::size_t max_pages = 4096;

}  // namespace

std::string to_wire(const bucket_set& buckets)
{
    std::string bytes(bucket_count / 8, '\0');
    for (std::size_t b = 0; b < bucket_count; ++b) {
        if (buckets[b]) {
            bytes[b / 8] = static_cast<char>(static_cast<unsigned char>(bytes[b / 8]) | (1U << (b % 8)));
        }
    }
    return bytes;
}

bucket_set buckets_from_wire(const std::string& bytes)
{
    bucket_set buckets;
    for (std::size_t b = 0; b < bucket_count && b / 8 < bytes.size(); ++b) {
        buckets[b] = ((static_cast<unsigned char>(bytes[b / 8]) >> (b % 8)) & 1U) != 0;
    }
    return buckets;
}

directory_entry* bucket_directory::find(const flow_key& key)
{
    auto& entries = buckets_[bucket_of(key)].entries;
    const auto it = entries.find(key);
    return it == entries.end() ? nullptr : &it->second;
}

bool bucket_directory::set(const flow_key& key, incarnation holder)
{
    auto& entries = buckets_[bucket_of(key)].entries;
    const auto it = entries.find(key);
    if (it != entries.end()) {
        it->second = {holder, false};
        return true;
    }
    if (size_ >= max_entries_) {
        return false;
    }
    entries.emplace(key, directory_entry{holder, false});
    ++size_;
    return true;
}

void bucket_directory::erase(const flow_key& key) { size_ -= buckets_[bucket_of(key)].entries.erase(key); }

void bucket_directory::mark_in_doubt(time_point now, const flow_key& key, incarnation holder)
{
    directory_entry* entry = find(key);
    if (entry == nullptr || entry->holder != holder || entry->in_doubt) {
        return;
    }
    entry->in_doubt = true;
    in_doubt_records_.push_back({now, key});
    if (in_doubt_records_.size() > max_in_doubt) {
        const flow_key oldest = in_doubt_records_.front().key;
        in_doubt_records_.pop_front();
        if (const directory_entry* e = find(oldest); e != nullptr && e->in_doubt) {
            erase(oldest);
        }
    }
}

void bucket_directory::purge(time_point now)
{
    while (!in_doubt_records_.empty() && in_doubt_records_.front().marked_at + datagram_lifetime < now) {
        const flow_key key = in_doubt_records_.front().key;
        in_doubt_records_.pop_front();
        if (const directory_entry* e = find(key); e != nullptr && e->in_doubt) {
            erase(key);
        }
    }
}

void bucket_directory::release(std::size_t bucket)
{
    bucket_state& b = buckets_.at(bucket);
    size_ -= b.entries.size();
    b.entries = {};
    b.owned = false;
    b.fenced = false;
    b.ready = false;
    b.complete = false;
}

void bucket_directory::keep_holders(const std::unordered_set<incarnation, id_hash>& targets)
{
    for (bucket_state& b : buckets_) {
        size_ -= std::erase_if(
            b.entries, [&targets](const auto& item) { return !targets.contains(item.second.holder); });
    }
}

void bucket_directory::clear()
{
    for (bucket_state& b : buckets_) {
        b = {};
    }
    in_doubt_records_.clear();
    size_ = 0;
}

void query_round::start(time_point now, const bucket_set& buckets, const std::vector<incarnation>& targets)
{
    buckets_ = buckets;
    awaited_reports_.clear();
    for (const incarnation target : targets) {
        awaited_reports_[target].next_query = now;
    }
}

bool query_round::add_page(incarnation holder, std::int64_t query_id, std::size_t page, std::size_t pages)
{
    const auto it = awaited_reports_.find(holder);
    if (it == awaited_reports_.end() || it->second.query_id != query_id || page >= pages ||
        pages > max_pages) {
        return false;
    }
    awaited_report& report = it->second;
    if (report.pages.empty()) {
        report.pages.assign(pages, false);
        report.missing_pages = pages;
    }
    if (pages != report.pages.size() || report.pages[page]) {
        return false;
    }
    report.pages[page] = true;
    if (--report.missing_pages > 0) {
        return false;
    }
    awaited_reports_.erase(it);
    return awaited_reports_.empty();
}

std::vector<query_round::due_query> query_round::take_due_queries(time_point now)
{
    std::vector<due_query> due;
    for (auto& [target, report] : awaited_reports_) {
        if (report.next_query > now) {
            continue;
        }
        // A flow that changes its page between two reports may be missing from a mix of their pages, so each
        // query has its own id.
        report.query_id = next_query_id_++;
        report.pages.clear();
        report.next_query =
            now + std::min(max_query_interval, first_query_interval * (1 << std::min(report.attempts, 4)));
        ++report.attempts;
        due.push_back({target, report.query_id});
    }
    std::sort(due.begin(), due.end(), [](const auto& a, const auto& b) { return a.target < b.target; });
    return due;
}

}  // namespace peridotcleat::pvt
