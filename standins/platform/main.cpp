// The stand-in platform as a process.
#include "standins/platform/platformserver.h"
#include "standins/runserver.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 chooses a free one");

int main(int argc, char **argv)
{
    using namespace cyclamenlatch;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    asio::io_context context;
    standins::PlatformServer platform(context);
    net::HttpServerSettings settings;
    settings.address = FLAGS_address;
    settings.port = static_cast<std::uint16_t>(FLAGS_port);
    return standins::runServer(
            context, settings,
            [&platform](net::HttpRequest request, net::HttpResponder respond) {
                platform.handle(std::move(request), std::move(respond));
            },
            2);
}
