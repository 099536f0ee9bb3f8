#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "peridotcleat/replica.h"

namespace peridotcleat {

namespace pvt {

/// An open file that is closed on destruction.
class file_handle {
public:
    explicit file_handle(int descriptor = -1) noexcept : descriptor_(descriptor) {}
    file_handle(file_handle&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
    file_handle& operator=(file_handle&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    file_handle(const file_handle&) = delete;
    file_handle& operator=(const file_handle&) = delete;
    ~file_handle();

    [[nodiscard]] int get() const noexcept { return descriptor_; }
    [[nodiscard]] bool is_open() const noexcept { return descriptor_ >= 0; }

private:
    int descriptor_;
};

}  // namespace pvt

/// Storage of a replica in one data folder, which is locked while the storage is open.
///
/// Files: `lock`, `identity`, `log` (records with checksums; appended to, and rewritten after a snapshot) and
/// `snapshot` (replaced by rename). A record at the end of the log that a crash left incomplete is discarded;
/// any other damage is an error, because an acknowledged record may be affected. Not thread-safe.
class file_storage {
public:
    /// Opens or creates `folder` for the process `node` of `cluster`. An empty folder gets a new random
    /// folder id. Fails with `folder_not_writable` (also if another process has the folder open),
    /// `folder_of_other_cluster`, `folder_of_other_node`, `log_corrupt`, `write_failed` or `sync_failed`.
    static result<file_storage> open(const std::string& folder, cluster_id cluster, const std::string& node);

    /// Reads the log and the snapshot and discards an incomplete record at the end of the log. Fails with
    /// `log_corrupt`, `snapshot_corrupt`, `write_failed` or `sync_failed`.
    result<stored_state> load();
    /// Buffers a write for the next `sync`, as `append` and `truncate_from` do. Fails only after an
    /// earlier write, sync or `write_snapshot` has failed, with the error of that failure.
    result<success> write_hard_state(const hard_state& hard);
    result<success> append(const std::vector<wire::log_entry>& entries);
    result<success> truncate_from(std::int64_t index);
    /// Writes and syncs the buffered writes, then the snapshot, and rewrites the log without the entries that
    /// the snapshot covers. Everything is durable on return. Fails with `write_failed`, `sync_failed` or
    /// `log_corrupt`.
    result<success> write_snapshot(const stored_snapshot& snapshot);
    /// Makes all buffered writes durable. Fails with `write_failed` or `sync_failed`; all later writes and
    /// syncs then fail too.
    result<success> sync();

private:
    explicit file_storage(std::string folder) : folder_(std::move(folder)) {}

    [[nodiscard]] std::string path(const char* name) const { return folder_ + "/" + name; }
    result<success> lock();
    result<success> open_identity(cluster_id cluster, const std::string& node);
    result<success> open_log();
    result<success> flush_buffer();
    result<success> replace_file(const char* name, std::string_view content);
    result<success> read_log(stored_state& out);
    result<success> rewrite_log(const stored_state& state);
    result<success> fail(error reason);

    std::string folder_;
    folder_identity identity_;
    pvt::file_handle lock_;
    pvt::file_handle log_;
    // Records to write at the next sync.
    std::string buffer_;
    // Set by a failed write or sync, and by `write_snapshot` if it cannot read the log again; later calls
    // return this error.
    std::optional<error> error_;
};

}  // namespace peridotcleat
