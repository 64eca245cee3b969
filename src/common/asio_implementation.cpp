// Compiles the implementation of Asio and Beast once, in builds with OCHREGRADE_COMPILE_ASIO_ONCE; all other
// sources then include only the declarations. CI's sanitizer build sets this option, because instrumenting
// Asio in each source takes a third of that build's time.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
