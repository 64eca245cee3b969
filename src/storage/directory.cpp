#include "storage/directory.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace ochregrade::storage {

namespace {

constexpr std::size_t kLongestFile = 64 << 20;  // nothing of ours is near that

class Descriptor {
public:
    explicit Descriptor(int fd = -1) : fd_(fd) {}
    ~Descriptor() { reset(); }
    Descriptor(const Descriptor&) = delete;
    Descriptor& operator=(const Descriptor&) = delete;
    int reset(int fd = -1) {
        const int result = fd_ >= 0 ? ::close(fd_) : 0;
        fd_ = fd;
        return result == 0 ? 0 : errno;
    }
    int get() const { return fd_; }

private:
    int fd_;
};

int result(int returned) { return returned < 0 ? errno : 0; }

class RealFolder : public Folder {
public:
    explicit RealFolder(int fd) : folder_(fd) {}

    int list(std::vector<std::string>& names) override {
        names.clear();
        const int copy = ::openat(folder_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (copy < 0) return errno;
        DIR* open = ::fdopendir(copy);
        if (!open) {
            const int error = errno;
            ::close(copy);
            return error;
        }
        errno = 0;
        while (const dirent* entry = ::readdir(open)) {
            struct stat about {};
            if (::fstatat(folder_.get(), entry->d_name, &about, AT_SYMLINK_NOFOLLOW) == 0 &&
                S_ISREG(about.st_mode))
                names.emplace_back(entry->d_name);
            errno = 0;
        }
        const int error = errno;
        ::closedir(open);
        return error;
    }

    int read(const std::string& name, std::string& bytes) override {
        bytes.clear();
        const Descriptor file(::openat(folder_.get(), name.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW));
        if (file.get() < 0) return errno;
        char part[65536];
        for (;;) {
            const ssize_t n = ::read(file.get(), part, sizeof part);
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return errno;
            if (n == 0) return 0;
            bytes.append(part, static_cast<std::size_t>(n));
            if (bytes.size() > kLongestFile) return EFBIG;
        }
    }

    int create(const std::string& name) override {
        open_.reset(::openat(folder_.get(), name.c_str(),
                             O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_NOFOLLOW, 0600));
        return open_.get() < 0 ? errno : 0;
    }

    int write(std::string_view bytes) override {
        while (!bytes.empty()) {
            const ssize_t n = ::write(open_.get(), bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return errno;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return 0;
    }

    int sync() override { return result(::fsync(open_.get())); }
    int close() override { return open_.reset(); }
    int rename(const std::string& from, const std::string& to) override {
        return result(::renameat(folder_.get(), from.c_str(), folder_.get(), to.c_str()));
    }
    int remove(const std::string& name) override {
        return result(::unlinkat(folder_.get(), name.c_str(), 0));
    }
    int sync_folder() override { return result(::fsync(folder_.get())); }

private:
    Descriptor folder_, open_;
};

}  // namespace

OpenedFolder open_folder(const std::string& path) {
    if (::mkdir(path.c_str(), 0700) != 0 && errno != EEXIST && errno != EROFS && errno != EACCES)
        return {nullptr, errno};
    const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return {nullptr, errno};
    auto folder = std::make_unique<RealFolder>(fd);
    // On the folder and not on a file in it: that works where nothing can be written, too.
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) return {nullptr, errno};
    return {std::move(folder), 0};
}

}  // namespace ochregrade::storage
