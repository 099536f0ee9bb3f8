#include "peridotcleat/file_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <random>
#include <system_error>

#include "libperidotcleat/version/record.h"

namespace peridotcleat {

using pvt::file_handle;
using pvt::record;
using pvt::record_kind;
using pvt::record_state;

namespace {

constexpr int file_mode = 0644;
constexpr int folder_mode = 0755;

error system_error(error_code code, const std::string& path)
{
    return {code, path + ": " + std::error_code(errno, std::generic_category()).message()};
}

bool write_all(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno != EINTR) {
            return false;
        }
        bytes.remove_prefix(n < 0 ? 0 : static_cast<std::size_t>(n));
    }
    return true;
}

// Returns nothing if the file does not exist. Any other failure to read it is reported as `code`.
result<std::optional<std::string>> read_file(const std::string& path, error_code code)
{
    const file_handle file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.is_open()) {
        if (errno == ENOENT) {
            return std::optional<std::string>{};
        }
        return system_error(code, path);
    }
    std::string content;
    std::string block(1U << 16U, '\0');
    for (;;) {
        const ssize_t n = ::read(file.get(), block.data(), block.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return system_error(code, path);
        }
        if (n == 0) {
            return std::optional<std::string>(std::move(content));
        }
        content.append(block, 0, static_cast<std::size_t>(n));
    }
}

std::int64_t new_folder_id()
{
    std::random_device random;
    const std::uint64_t bits = (std::uint64_t{random()} << 32U) | random();
    // Positive, so that the id is easy to read in logs, and never zero, which means "none".
    return static_cast<std::int64_t>((bits >> 1U) | 1U);
}

std::string encode_identity(const folder_identity& identity)
{
    std::string payload;
    pvt::write_integer(payload, identity.cluster.value);
    pvt::write_integer(payload, identity.folder.value);
    payload += identity.node;
    std::string out;
    pvt::write_record(out, record_kind::identity, payload);
    return out;
}

std::optional<folder_identity> decode_identity(std::string_view file)
{
    record r;
    std::size_t position = 0;
    if (pvt::read_record(file, position, r) != record_state::whole || r.kind != record_kind::identity ||
        position != file.size()) {
        return std::nullopt;
    }
    const auto cluster = pvt::read_integer(r.payload);
    const auto folder = pvt::read_integer(r.payload);
    if (!cluster || !folder) {
        return std::nullopt;
    }
    return folder_identity{cluster_id{*cluster}, std::string(r.payload), folder_id{*folder}};
}

std::string encode_snapshot(const stored_snapshot& s)
{
    const std::string members = encode_struct(s.members);
    std::string payload;
    pvt::write_integer(payload, s.index);
    pvt::write_integer(payload, s.term);
    pvt::write_integer(payload, static_cast<std::int64_t>(members.size()));
    payload += members;
    payload += s.state;
    std::string out;
    pvt::write_record(out, record_kind::snapshot, payload);
    return out;
}

std::optional<stored_snapshot> decode_snapshot(std::string_view file)
{
    record r;
    std::size_t position = 0;
    if (pvt::read_record(file, position, r) != record_state::whole || r.kind != record_kind::snapshot ||
        position != file.size()) {
        return std::nullopt;
    }
    const auto index = pvt::read_integer(r.payload);
    const auto term = pvt::read_integer(r.payload);
    const auto size = pvt::read_integer(r.payload);
    if (!index || !term || !size || *size < 0 || *size > static_cast<std::int64_t>(r.payload.size())) {
        return std::nullopt;
    }
    auto members = decode_struct<wire::member_list>(r.payload.substr(0, static_cast<std::size_t>(*size)));
    if (!has_value(members)) {
        return std::nullopt;
    }
    return stored_snapshot{*index, *term, value(std::move(members)),
                           std::string(r.payload.substr(static_cast<std::size_t>(*size)))};
}

std::string encode_hard_state(const hard_state& hard)
{
    std::string payload;
    pvt::write_integer(payload, hard.term);
    pvt::write_integer(payload, hard.voted_for.value);
    pvt::write_integer(payload, hard.committed);
    return payload;
}

// Applies one record of the log. Returns false if the record is malformed or out of sequence.
bool apply_record(const record& r, stored_state& out)
{
    std::string_view payload = r.payload;
    switch (r.kind) {
    case record_kind::hard_state: {
        const auto term = pvt::read_integer(payload);
        const auto vote = pvt::read_integer(payload);
        // Records of earlier releases do not contain the commit index.
        const auto committed = payload.empty() ? std::optional<std::int64_t>(0) : pvt::read_integer(payload);
        if (!term || !vote || !committed || !payload.empty()) {
            return false;
        }
        out.hard = {*term, folder_id{*vote}, *committed};
        return true;
    }
    case record_kind::truncation: {
        const auto from = pvt::read_integer(payload);
        while (from && !out.entries.empty() && out.entries.back().index >= *from) {
            out.entries.pop_back();
        }
        return from.has_value();
    }
    case record_kind::entry: {
        auto e = decode_struct<wire::log_entry>(payload);
        if (!has_value(e) || (!out.entries.empty() && value(e).index != out.entries.back().index + 1)) {
            return false;
        }
        out.entries.push_back(value(std::move(e)));
        return true;
    }
    default: return false;
    }
}

// Removes the entries that the snapshot replaces. Returns how many were removed.
std::size_t drop_covered(stored_state& s, const stored_snapshot& snapshot)
{
    const std::size_t before = s.entries.size();
    const bool conflicts = std::any_of(s.entries.begin(), s.entries.end(), [&](const auto& e) {
        return e.index == snapshot.index && e.term != snapshot.term;
    });
    std::erase_if(s.entries, [&](const auto& e) { return conflicts || e.index <= snapshot.index; });
    return before - s.entries.size();
}

}  // namespace

pvt::file_handle::~file_handle()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

result<file_storage> file_storage::open(const std::string& folder, cluster_id cluster,
                                        const std::string& node)
{
    file_storage s(folder);
    if (auto r = s.lock(); !has_value(r)) {
        return failure(r);
    }
    if (auto r = s.open_identity(cluster, node); !has_value(r)) {
        return failure(r);
    }
    if (auto r = s.open_log(); !has_value(r)) {
        return failure(r);
    }
    return s;
}

result<success> file_storage::lock()
{
    if (::mkdir(folder_.c_str(), folder_mode) != 0 && errno != EEXIST) {
        return system_error(error_code::folder_not_writable, folder_);
    }
    lock_ = file_handle(::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode));
    if (!lock_.is_open()) {
        return system_error(error_code::folder_not_writable, folder_);
    }
    if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0) {
        return error{error_code::folder_not_writable, folder_ + ": in use by another process"};
    }
    return success{};
}

result<success> file_storage::open_identity(cluster_id cluster, const std::string& node)
{
    auto content = read_file(path("identity"), error_code::log_corrupt);
    if (!has_value(content)) {
        return failure(content);
    }
    if (!value(content)) {
        // A log without its identity would get a new folder id, and the vote in it would no longer count.
        if (::access(path("log").c_str(), F_OK) == 0 || ::access(path("snapshot").c_str(), F_OK) == 0) {
            return error{error_code::log_corrupt, path("identity") + " is missing"};
        }
        identity_ = {cluster, node, folder_id{new_folder_id()}};
        const auto written = replace_file("identity", encode_identity(identity_));
        return has_value(written) ? written
                                  : error{error_code::folder_not_writable, failure(written).message};
    }
    const auto identity = decode_identity(*value(content));
    if (!identity) {
        return error{error_code::log_corrupt, path("identity")};
    }
    if (identity->cluster != cluster) {
        return error{error_code::folder_of_other_cluster,
                     folder_ + " belongs to cluster " + std::to_string(identity->cluster.value)};
    }
    if (identity->node != node) {
        return error{error_code::folder_of_other_node, folder_ + " belongs to " + identity->node};
    }
    identity_ = *identity;
    return success{};
}

result<success> file_storage::open_log()
{
    if (::access(path("log").c_str(), F_OK) != 0) {
        if (auto r = replace_file("log", {}); !has_value(r)) {
            return r;
        }
    }
    log_ = file_handle(::open(path("log").c_str(), O_RDWR | O_APPEND | O_CLOEXEC));
    if (!log_.is_open()) {
        return system_error(error_code::folder_not_writable, path("log"));
    }
    return success{};
}

result<success> file_storage::fail(error reason)
{
    error_ = reason;
    return reason;
}

// Writes and syncs a new file and renames it to `name`; after a crash either the old or the new file is
// there.
result<success> file_storage::replace_file(const char* name, std::string_view content)
{
    const std::string final_path = path(name);
    const std::string temporary_path = final_path + ".new";
    const file_handle file(
        ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
    if (!file.is_open() || !write_all(file.get(), content)) {
        return fail(system_error(error_code::write_failed, temporary_path));
    }
    if (::fsync(file.get()) != 0) {
        return fail(system_error(error_code::sync_failed, temporary_path));
    }
    if (::rename(temporary_path.c_str(), final_path.c_str()) != 0) {
        return fail(system_error(error_code::write_failed, final_path));
    }
    const file_handle folder(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.is_open() || ::fsync(folder.get()) != 0) {
        return fail(system_error(error_code::sync_failed, folder_));
    }
    return success{};
}

result<success> file_storage::read_log(stored_state& out)
{
    const auto content = read_file(path("log"), error_code::log_corrupt);
    if (!has_value(content)) {
        return failure(content);
    }
    const std::string file = value(content).value_or(std::string{});
    std::size_t position = 0;
    record r;
    record_state state = record_state::end;
    while ((state = pvt::read_record(file, position, r)) == record_state::whole) {
        if (!apply_record(r, out)) {
            state = record_state::corrupt;
            break;
        }
    }
    if (state == record_state::corrupt) {
        return error{error_code::log_corrupt,
                     path("log") + ": invalid record at or before byte " + std::to_string(position)};
    }
    if (state == record_state::torn) {
        if (::ftruncate(log_.get(), static_cast<off_t>(position)) != 0 || ::fsync(log_.get()) != 0) {
            return fail(system_error(error_code::write_failed, path("log")));
        }
    }
    return success{};
}

result<stored_state> file_storage::load()
{
    if (error_) {
        return *error_;
    }
    stored_state out;
    out.identity = identity_;
    if (auto r = read_log(out); !has_value(r)) {
        return failure(r);
    }
    const auto file = read_file(path("snapshot"), error_code::snapshot_corrupt);
    if (!has_value(file)) {
        return failure(file);
    }
    if (value(file)) {
        out.snapshot = decode_snapshot(*value(file));
        if (!out.snapshot) {
            return error{error_code::snapshot_corrupt, path("snapshot")};
        }
        // The process crashed between writing the snapshot and rewriting the log.
        if (drop_covered(out, *out.snapshot) > 0) {
            if (auto r = rewrite_log(out); !has_value(r)) {
                return failure(r);
            }
        }
    }
    const std::int64_t base = out.snapshot ? out.snapshot->index : 0;
    if (!out.entries.empty() && out.entries.front().index != base + 1) {
        return error{error_code::log_corrupt, path("log") + ": first entry has index " +
                                                  std::to_string(out.entries.front().index) +
                                                  ", but the snapshot index is " + std::to_string(base)};
    }
    return out;
}

result<success> file_storage::write_hard_state(const hard_state& hard)
{
    pvt::write_record(buffer_, record_kind::hard_state, encode_hard_state(hard));
    return error_ ? result<success>(*error_) : success{};
}

result<success> file_storage::append(const std::vector<wire::log_entry>& entries)
{
    for (const wire::log_entry& e : entries) {
        pvt::write_record(buffer_, record_kind::entry, encode_struct(e));
    }
    return error_ ? result<success>(*error_) : success{};
}

result<success> file_storage::truncate_from(std::int64_t index)
{
    std::string payload;
    pvt::write_integer(payload, index);
    pvt::write_record(buffer_, record_kind::truncation, payload);
    return error_ ? result<success>(*error_) : success{};
}

result<success> file_storage::rewrite_log(const stored_state& state)
{
    std::string content;
    pvt::write_record(content, record_kind::hard_state, encode_hard_state(state.hard));
    for (const wire::log_entry& e : state.entries) {
        pvt::write_record(content, record_kind::entry, encode_struct(e));
    }
    if (auto r = replace_file("log", content); !has_value(r)) {
        return r;
    }
    return open_log();
}

result<success> file_storage::write_snapshot(const stored_snapshot& snapshot)
{
    // The snapshot may depend on the buffered writes, so they are synced first.
    if (auto r = sync(); !has_value(r)) {
        return r;
    }
    stored_state state;
    if (auto r = read_log(state); !has_value(r)) {
        return fail(failure(r));
    }
    if (auto r = replace_file("snapshot", encode_snapshot(snapshot)); !has_value(r)) {
        return r;
    }
    drop_covered(state, snapshot);
    // Entries that do not directly follow the snapshot belong to a log that the snapshot replaces.
    if (!state.entries.empty() && state.entries.front().index != snapshot.index + 1) {
        state.entries.clear();
    }
    return rewrite_log(state);
}

result<success> file_storage::flush_buffer()
{
    if (error_) {
        return *error_;
    }
    if (!write_all(log_.get(), buffer_)) {
        return fail(system_error(error_code::write_failed, path("log")));
    }
    buffer_.clear();
    return success{};
}

result<success> file_storage::sync()
{
    if (auto r = flush_buffer(); !has_value(r)) {
        return r;
    }
    if (::fdatasync(log_.get()) != 0) {
        return fail(system_error(error_code::sync_failed, path("log")));
    }
    return success{};
}

}  // namespace peridotcleat
