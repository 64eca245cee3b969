#include "storage/directory.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace ochregrade::storage {

namespace {

constexpr std::size_t kMaxFileBytes = 64 << 20;  // 64 MiB; far larger than any record
constexpr std::size_t kReadBytes = 65536;

std::error_code error_of(int error_number) { return {error_number, std::generic_category()}; }
std::error_code last_error() { return error_of(errno); }
std::error_code result_of(int returned) { return returned < 0 ? last_error() : std::error_code(); }

class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    ~Descriptor() { reset(); }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    std::error_code reset(int fd = -1) {
        const int closed = fd_ >= 0 ? ::close(fd_) : 0;
        fd_ = fd;
        return result_of(closed);
    }
    int get() const { return fd_; }

private:
    int fd_;
};

struct CloseDirectory {
    void operator()(DIR* directory) const { ::closedir(directory); }
};

class FileSystemDirectory : public Directory {
public:
    explicit FileSystemDirectory(int fd) : directory_(fd) {}

    std::error_code list(std::vector<std::string>& names) override {
        names.clear();
        const int copy = ::openat(directory_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (copy < 0) return last_error();
        const std::unique_ptr<DIR, CloseDirectory> stream(::fdopendir(copy));
        if (!stream) {
            const std::error_code error = last_error();
            ::close(copy);
            return error;
        }
        errno = 0;
        while (const dirent* entry = ::readdir(stream.get())) {
            if (is_regular_file(entry->d_name)) names.emplace_back(entry->d_name);
            errno = 0;
        }
        return last_error();
    }

    std::error_code read(const std::string& name, std::string& bytes) override {
        bytes.clear();
        const Descriptor file(::openat(directory_.get(), name.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW));
        if (file.get() < 0) return last_error();
        char part[kReadBytes];
        for (;;) {
            const ssize_t size = ::read(file.get(), part, sizeof part);
            if (size < 0 && errno == EINTR) continue;
            if (size < 0) return last_error();
            if (size == 0) return {};
            bytes.append(part, static_cast<std::size_t>(size));
            if (bytes.size() > kMaxFileBytes) return error_of(EFBIG);
        }
    }

    std::error_code create(const std::string& name) override {
        constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW;
        const int fd = ::openat(directory_.get(), name.c_str(), kFlags, 0600);
        const std::error_code error = result_of(fd);
        open_file_.reset(fd);
        return error;
    }

    std::error_code write(std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t size = ::write(open_file_.get(), bytes.data(), bytes.size());
            if (size < 0 && errno == EINTR) continue;
            if (size < 0) return last_error();
            bytes.remove_prefix(static_cast<std::size_t>(size));
        }
        return {};
    }

    std::error_code sync() override { return result_of(::fsync(open_file_.get())); }
    std::error_code close() override { return open_file_.reset(); }
    std::error_code rename(const std::string& from, const std::string& to) override {
        return result_of(::renameat(directory_.get(), from.c_str(), directory_.get(), to.c_str()));
    }
    std::error_code remove(const std::string& name) override {
        return result_of(::unlinkat(directory_.get(), name.c_str(), 0));
    }
    std::error_code sync_directory() override { return result_of(::fsync(directory_.get())); }

private:
    bool is_regular_file(const char* name) const {
        struct stat status {};
        return ::fstatat(directory_.get(), name, &status, AT_SYMLINK_NOFOLLOW) == 0 &&
               S_ISREG(status.st_mode);
    }

    Descriptor directory_;
    Descriptor open_file_;
};

}  // namespace

OpenedDirectory open_directory(const std::string& path) {
    // These three errors are ignored because the directory may exist already, for example on a read-only file
    // system. If it does not, open() fails below.
    if (::mkdir(path.c_str(), 0700) != 0 && errno != EEXIST && errno != EROFS && errno != EACCES)
        return {nullptr, last_error()};
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return {nullptr, last_error()};
    auto directory = std::make_unique<FileSystemDirectory>(fd);
    // The lock is on the directory, not on a file in it, so that it works on a read-only file system too.
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) return {nullptr, last_error()};
    return {std::move(directory), {}};
}

}  // namespace ochregrade::storage
