// The implementation of Asio and Beast in a build with OCHREGRADE_COMPILE_ASIO_ONCE, which the other sources
// then only declare. CI's sanitizer build uses it: instrumenting Asio in each source takes a third of its
// time.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
