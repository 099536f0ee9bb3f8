#include "peridotcleat/file_storage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include "libperidotcleat/version/record.h"
#include "testing/fake_disk.h"

namespace peridotcleat {
namespace {

constexpr cluster_id test_cluster{7};

// The path of a folder that is removed at the end of the test.
class temporary_folder {
public:
    temporary_folder()
        : path_(std::filesystem::temp_directory_path() /
                ("peridotcleat-" + std::to_string(::getpid()) + "-" + std::to_string(++count)))
    {
        std::filesystem::remove_all(path_);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(path_); }

    [[nodiscard]] std::string path(const std::string& file = {}) const
    {
        return file.empty() ? path_.string() : (path_ / file).string();
    }
    [[nodiscard]] std::string read(const std::string& file) const
    {
        std::ifstream in(path(file), std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    void write(const std::string& file, const std::string& content) const
    {
        std::ofstream(path(file), std::ios::binary | std::ios::trunc) << content;
    }

private:
    static inline int count = 0;
    std::filesystem::path path_;
};

std::vector<wire::log_entry> make_entries(std::int64_t first, std::int64_t term, const std::string& data)
{
    std::vector<wire::log_entry> out(1 + data.size() % 3);
    for (wire::log_entry& e : out) {
        e.index = first++;
        e.term = term;
        e.kind = 1;
        e.data = data;
    }
    return out;
}

bool equal(const stored_state& a, const stored_state& b)
{
    const bool same_snapshot =
        a.snapshot.has_value() == b.snapshot.has_value() &&
        (!a.snapshot ||
         (a.snapshot->index == b.snapshot->index && a.snapshot->term == b.snapshot->term &&
          a.snapshot->members == b.snapshot->members && a.snapshot->state == b.snapshot->state));
    return same_snapshot && a.hard.term == b.hard.term && a.hard.voted_for == b.hard.voted_for &&
           a.hard.committed == b.hard.committed && a.entries == b.entries;
}

// Makes random writes, in an order that a replica could make them, both to a file storage and to a model of
// it.
class random_writer {
public:
    explicit random_writer(const temporary_folder& folder) : folder_(folder) { reopen(); }

    void reopen()
    {
        storage_.reset();
        auto opened = file_storage::open(folder_.path(), test_cluster, "a");
        RC_ASSERT(has_value(opened));
        storage_.emplace(value(std::move(opened)));
        loaded_ = storage_->load();
    }
    void close() { storage_.reset(); }

    void write_random()
    {
        switch (*rc::gen::inRange(0, 6)) {
        case 0: {
            ++term_;
            const hard_state hard{term_, folder_id{*rc::gen::inRange<std::int64_t>(0, 5)},
                                  *rc::gen::inRange<std::int64_t>(0, 9)};
            apply_to_model(storage_->write_hard_state(hard), hard);
            break;
        }
        case 1: {
            if (last() > base()) {
                const auto from = *rc::gen::inRange(base() + 1, last() + 1);
                apply_to_model(storage_->truncate_from(from), pvt::truncation{from});
            }
            break;
        }
        case 2: {
            const stored_snapshot s{base() + *rc::gen::inRange<std::int64_t>(1, 8),
                                    term_,
                                    {},
                                    *rc::gen::arbitrary<std::string>()};
            apply_to_model(storage_->write_snapshot(s), s);
            break;
        }
        default: {
            const auto entries = make_entries(last() + 1, term_, *rc::gen::arbitrary<std::string>());
            apply_to_model(storage_->append(entries), entries);
        }
        }
    }
    void sync()
    {
        RC_ASSERT(has_value(storage_->sync()));
        RC_ASSERT(has_value(model_.sync()));
    }

    [[nodiscard]] const result<stored_state>& loaded() const { return loaded_; }
    [[nodiscard]] const stored_state& expected() const { return model_.durable(); }

private:
    void apply_to_model(const result<success>& written, pvt::staged_write w)
    {
        RC_ASSERT(has_value(written));
        (void)model_.write(std::move(w));
    }
    [[nodiscard]] std::int64_t base() const
    {
        return model_.current().snapshot ? model_.current().snapshot->index : 0;
    }
    [[nodiscard]] std::int64_t last() const
    {
        return base() + static_cast<std::int64_t>(model_.current().entries.size());
    }

    const temporary_folder& folder_;
    testing::fake_disk_content model_{test_cluster, "a", 1};
    std::optional<file_storage> storage_;
    result<stored_state> loaded_;
    std::int64_t term_ = 1;
};

// Guards against a restart that loses a synced write or restores one that was truncated or replaced, and
// against a fake disk that behaves differently from the real storage.
RC_GTEST_PROP(file_storage, reopening_restores_the_synced_state, ())
{
    const temporary_folder folder;
    random_writer w(folder);
    const int writes = *rc::gen::inRange(1, 12);
    for (int i = 0; i < writes; ++i) {
        w.write_random();
        if (*rc::gen::inRange(0, 4) == 0) {
            w.sync();
            w.reopen();
        }
    }
    w.sync();
    w.reopen();
    RC_ASSERT(has_value(w.loaded()));
    RC_ASSERT(equal(value(w.loaded()), w.expected()));
}

// Guards against a corrupt record that is taken for an intact or a torn one, which would lose an acknowledged
// entry.
RC_GTEST_PROP(file_storage, a_flipped_byte_is_reported, ())
{
    const temporary_folder folder;
    random_writer w(folder);
    for (int i = 0; i < 6; ++i) {
        w.write_random();
    }
    w.sync();
    w.close();
    const std::string file = *rc::gen::element<std::string>("log", "snapshot", "identity");
    std::string content = folder.read(file);
    RC_PRE(!content.empty());
    const auto position = *rc::gen::inRange<std::size_t>(0, content.size());
    content[position] = static_cast<char>(content[position] ^ (1 << *rc::gen::inRange(0, 8)));
    folder.write(file, content);
    auto opened = file_storage::open(folder.path(), test_cluster, "a");
    const auto loaded = has_value(opened) ? value(opened).load() : result<stored_state>(failure(opened));
    RC_ASSERT(!has_value(loaded));
    RC_ASSERT(failure(loaded).code ==
              (file == "snapshot" ? error_code::snapshot_corrupt : error_code::log_corrupt));
}

// Guards against a crash during a write that makes the folder unreadable or affects earlier records.
RC_GTEST_PROP(file_storage, a_torn_record_at_the_end_is_discarded, ())
{
    const temporary_folder folder;
    auto opened = file_storage::open(folder.path(), test_cluster, "a");
    RC_ASSERT(has_value(opened));
    const auto first_entries = make_entries(1, 1, *rc::gen::arbitrary<std::string>());
    const auto later_entries =
        make_entries(static_cast<std::int64_t>(first_entries.size()) + 1, 1, std::string(1500, 'x'));
    RC_ASSERT(has_value(value(opened).append(first_entries)) && has_value(value(opened).sync()));
    const std::size_t synced = folder.read("log").size();
    RC_ASSERT(has_value(value(opened).append(later_entries)) && has_value(value(opened).sync()));
    opened = error{};
    std::string content = folder.read("log");
    const std::size_t size = content.size();
    content.resize(*rc::gen::inRange(synced, size));
    if (*rc::gen::arbitrary<bool>()) {
        // Sectors that were never written are read as zeros.
        content.resize(content.size() / 512 * 512 >= synced ? content.size() / 512 * 512 : content.size());
        content.resize(std::max(size, content.size() + 1024), '\0');
    }
    folder.write("log", content);
    for (int i = 0; i < 2; ++i) {
        auto reopened = file_storage::open(folder.path(), test_cluster, "a");
        RC_ASSERT(has_value(reopened));
        const auto loaded = value(reopened).load();
        RC_ASSERT(has_value(loaded));
        const auto& entries = value(loaded).entries;
        RC_ASSERT(entries.size() >= first_entries.size() &&
                  entries.size() <= first_entries.size() + later_entries.size());
        RC_ASSERT(std::equal(first_entries.begin(), first_entries.end(), entries.begin()));
    }
}

// While this object exists, the files of this process cannot grow beyond `limit` bytes. Like a disk without
// room, a write stores the bytes that fit and then fails.
class file_size_limit {
public:
    explicit file_size_limit(std::size_t limit) : former_handler_(std::signal(SIGXFSZ, SIG_IGN))
    {
        ::getrlimit(RLIMIT_FSIZE, &former_);
        rlimit limited = former_;
        limited.rlim_cur = limit;
        ::setrlimit(RLIMIT_FSIZE, &limited);
    }
    file_size_limit(const file_size_limit&) = delete;
    file_size_limit& operator=(const file_size_limit&) = delete;
    ~file_size_limit()
    {
        ::setrlimit(RLIMIT_FSIZE, &former_);
        (void)std::signal(SIGXFSZ, former_handler_);
    }

private:
    rlimit former_{};
    void (*former_handler_)(int);
};

// Guards against a full disk that leaves a folder which cannot be opened once there is room again, or that
// lacks a synced entry: the write fails after any number of bytes, and the process is started again while
// the disk is still full.
RC_GTEST_PROP(file_storage, a_folder_opens_again_after_its_disk_was_full, ())
{
    const temporary_folder folder;
    random_writer w(folder);
    const int writes = *rc::gen::inRange(1, 8);
    for (int i = 0; i < writes; ++i) {
        w.write_random();
    }
    w.sync();
    w.close();
    const std::size_t room = *rc::gen::inRange<std::size_t>(0, 600);
    const bool in_snapshot = *rc::gen::arbitrary<bool>();
    const auto& synced = w.expected();
    const std::int64_t last =
        synced.entries.empty() ? (synced.snapshot ? synced.snapshot->index : 0) : synced.entries.back().index;
    {
        const file_size_limit limit(folder.read("log").size() + room);
        auto opened = file_storage::open(folder.path(), test_cluster, "a");
        RC_ASSERT(has_value(opened) && has_value(value(opened).load()));
        if (in_snapshot) {
            const stored_snapshot snapshot{
                last + 1, 1000, {}, std::string(folder.read("log").size() + 700, 's')};
            RC_ASSERT(!has_value(value(opened).write_snapshot(snapshot)));
        } else {
            RC_ASSERT(has_value(value(opened).append(make_entries(last + 1, 1000, std::string(700, 'x')))));
            RC_ASSERT(!has_value(value(opened).sync()));
        }
        opened = error{};
        for (int i = 0; i < 2; ++i) {
            auto restarted = file_storage::open(folder.path(), test_cluster, "a");
            RC_ASSERT(has_value(restarted) && has_value(value(restarted).load()));
        }
    }
    w.reopen();
    RC_ASSERT(has_value(w.loaded()));
    RC_ASSERT(equal(value(w.loaded()), synced));
    w.write_random();
    w.sync();
}

// Guards against an upgrade that rejects the data folders of the previous release, whose hard state records
// hold the term and the vote but no commit index.
TEST(file_storage, reads_a_hard_state_without_the_committed_index)
{
    const temporary_folder folder;
    ASSERT_TRUE(has_value(file_storage::open(folder.path(), test_cluster, "a")));
    std::string payload;
    pvt::write_integer(payload, 4);
    pvt::write_integer(payload, 9);
    std::string log;
    pvt::write_record(log, pvt::record_kind::hard_state, payload);
    folder.write("log", log);
    auto opened = file_storage::open(folder.path(), test_cluster, "a");
    ASSERT_TRUE(has_value(opened));
    const auto loaded = value(opened).load();
    ASSERT_TRUE(has_value(loaded));
    EXPECT_EQ(value(loaded).hard.term, 4);
    EXPECT_EQ(value(loaded).hard.voted_for, folder_id{9});
    EXPECT_EQ(value(loaded).hard.committed, 0);
}

// Guards against a process that opens the data folder of another node or cluster, or one that another running
// process has open.
TEST(file_storage, refuses_folders_of_other_nodes_clusters_and_processes)
{
    const temporary_folder folder;
    {
        const auto first = file_storage::open(folder.path(), test_cluster, "a");
        ASSERT_TRUE(has_value(first));
        const auto second = file_storage::open(folder.path(), test_cluster, "a");
        ASSERT_FALSE(has_value(second));
        EXPECT_EQ(failure(second).code, error_code::folder_not_writable);
    }
    const auto other_node = file_storage::open(folder.path(), test_cluster, "b");
    ASSERT_FALSE(has_value(other_node));
    EXPECT_EQ(failure(other_node).code, error_code::folder_of_other_node);
    const auto other_cluster = file_storage::open(folder.path(), cluster_id{8}, "a");
    ASSERT_FALSE(has_value(other_cluster));
    EXPECT_EQ(failure(other_cluster).code, error_code::folder_of_other_cluster);
    const auto below_a_file = file_storage::open(folder.path("log/below"), test_cluster, "a");
    ASSERT_FALSE(has_value(below_a_file));
    EXPECT_EQ(failure(below_a_file).code, error_code::folder_not_writable);
    // A log whose identity file is missing must not be opened under a new folder id.
    std::filesystem::remove(folder.path("identity"));
    const auto without_identity = file_storage::open(folder.path(), test_cluster, "a");
    ASSERT_FALSE(has_value(without_identity));
    EXPECT_EQ(failure(without_identity).code, error_code::log_corrupt);
}

}  // namespace
}  // namespace peridotcleat
