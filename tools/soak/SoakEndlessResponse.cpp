#include "soak/SoakEndlessResponse.h"

#include <array>

namespace basildeck::soak {

EndlessResponse EndlessResponse::make(std::size_t variant, const std::string &head,
                                      const std::string &body)
{
    const std::string statusLine = "HTTP/1.1 200 OK\r\n";
    const std::string filler(4096, 'x');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1000\r\n" + filler + "\r\n";
    const std::string complete
            = head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::array<EndlessResponse, variantCount> variants = { {
            { statusLine, "a:\r\n" },                                      // fields
            { statusLine + "X-Filler: ", filler },                         // one field
            { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },                    // interim responses
            { head + chunked + "5;", filler },                             // chunk extension
            { head + chunked + "0\r\n", "X-Filler: " + filler + "\r\n" },  // trailer
            { head + chunked, chunk },                                     // body in chunks
            { head + "Content-Length: 90000000000\r\n\r\n", filler },      // body with a length
            { complete, filler },                                          // behind a response
            { "HTTP/1.1 500 Internal Server Error\r\n" + chunked, chunk }, // body without a seal
    } };
    return variants.at(variant);
}

} // namespace basildeck::soak
