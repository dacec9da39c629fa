#include "broken_response.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "lav/clock.h"

#define BROKEN_RESPONSE_PIECE_SIZE 16384
#define BROKEN_RESPONSE_REPEAT_MAX_US (15 * CLOCK_US_PER_S)

#define PART(text)                                                            \
    {                                                                         \
        text, sizeof(text) - 1                                                \
    }
#define TABLE(list)                                                           \
    {                                                                         \
        list, sizeof(list) / sizeof((list)[0])                                \
    }

#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 2\r\n\r\nok"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNKS CHUNKED "2\r\nok\r\n0\r\n\r\n"

#define STATUS_LINE(name, start)                                              \
    {                                                                         \
        name, PART(start), PART(LENGTH)                                       \
    }
#define REST(name, rest)                                                      \
    {                                                                         \
        name, PART(OK), PART(rest)                                            \
    }

static const broken_response status_line_cases[] = {
    STATUS_LINE("status 000", "HTTP/1.1 000 OK\r\n"),
    STATUS_LINE("status 000 without a reason", "HTTP/1.1 000\r\n"),
    STATUS_LINE("status 001", "HTTP/1.1 001 OK\r\n"),
    STATUS_LINE("status 099", "HTTP/1.1 099 OK\r\n"),
    STATUS_LINE("status 600", "HTTP/1.1 600 OK\r\n"),
    STATUS_LINE("status 999", "HTTP/1.1 999 OK\r\n"),
    STATUS_LINE("one digit", "HTTP/1.1 2 OK\r\n"),
    STATUS_LINE("two digits", "HTTP/1.1 20 OK\r\n"),
    STATUS_LINE("four digits", "HTTP/1.1 2000 OK\r\n"),
    STATUS_LINE("four digits, first 0", "HTTP/1.1 0200 OK\r\n"),
    STATUS_LINE("negative", "HTTP/1.1 -200 OK\r\n"),
    STATUS_LINE("letter in the status", "HTTP/1.1 2x0 OK\r\n"),
    STATUS_LINE("no status", "HTTP/1.1 \r\n"),
    STATUS_LINE("version only", "HTTP/1.1\r\n"),
    STATUS_LINE("no blank after the status", "HTTP/1.1 200OK\r\n"),
    STATUS_LINE("two blanks", "HTTP/1.1  200 OK\r\n"),
    STATUS_LINE("tab", "HTTP/1.1\t200 OK\r\n"),
    STATUS_LINE("version 2.0", "HTTP/2.0 200 OK\r\n"),
    STATUS_LINE("version 0.9", "HTTP/0.9 200 OK\r\n"),
    STATUS_LINE("version 1.11", "HTTP/1.11 200 OK\r\n"),
    STATUS_LINE("no minor version", "HTTP/1 200 OK\r\n"),
    STATUS_LINE("lower case", "http/1.1 200 OK\r\n"),
    STATUS_LINE("another protocol", "ICY 200 OK\r\n"),
    STATUS_LINE("blank first", " HTTP/1.1 200 OK\r\n"),
    STATUS_LINE("control byte in the reason", "HTTP/1.1 200 O\1K\r\n"),
    STATUS_LINE("NUL in the reason", "HTTP/1.1 200 O\0K\r\n"),
    STATUS_LINE("CR in the reason", "HTTP/1.1 200 O\rK\r\n"),
    STATUS_LINE("CR alone ends the line", "HTTP/1.1 200 OK\r"),
    STATUS_LINE("protocol switched unasked",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                "Connection: Upgrade\r\n\r\n" OK),
    STATUS_LINE("status 000 before a response", "HTTP/1.1 000 X\r\n\r\n" OK),
    STATUS_LINE("status 000 after an interim response",
                "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 X\r\n"),
    STATUS_LINE("no text", "\1\2\3 not HTTP\r\n"),
    STATUS_LINE("interim response without a version",
                "100 Continue\r\n\r\n" OK),
};
const broken_response_table broken_status_lines = TABLE(status_line_cases);

static const broken_response field_cases[] = {
    REST("blank in a name", "X Odd: v\r\n" LENGTH),
    REST("blank after a name", "X-Odd : v\r\n" LENGTH),
    REST("blank before a name", "X-A: a\r\n X-Odd: v\r\n" LENGTH),
    REST("tab in a name", "X\tOdd: v\r\n" LENGTH),
    REST("tab after a name", "X-Odd\t: v\r\n" LENGTH),
    REST("tab before a name", "X-A: a\r\n\tX-Odd: v\r\n" LENGTH),
    REST("control byte in a name", "X\1Odd: v\r\n" LENGTH),
    REST("control byte after a name", "X-Odd\1: v\r\n" LENGTH),
    REST("control byte before a name", "\1X-Odd: v\r\n" LENGTH),
    REST("NUL in a name", "X\0Odd: v\r\n" LENGTH),
    REST("DEL in a name", "X\177Odd: v\r\n" LENGTH),
    REST("CR in a name", "X\rOdd: v\r\n" LENGTH),
    REST("LF in a name", "X\nOdd: v\r\n" LENGTH),
    REST("a name outside ASCII", "X\xe4Odd: v\r\n" LENGTH),
    REST("a name in quotes", "\"X-Odd\": v\r\n" LENGTH),
    REST("a name with a bracket", "X(Odd): v\r\n" LENGTH),
    REST("no name", ": v\r\n" LENGTH),
    REST("no colon", "X-Odd\r\n" LENGTH),
    REST("blank after the name of the length", "Content-Length : 2\r\n\r\nok"),
    REST("blank in the name of the length", "Content Length: 2\r\n\r\nok"),
    REST("control byte in the name of the length",
         "Content\1Length: 2\r\n\r\nok"),
    REST("blank after the name of the coding",
         "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("tab after the name of the coding",
         "Transfer-Encoding\t: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("blank in the name of the coding",
         "Transfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("control byte in a value", "X-Odd: a\1b\r\n" LENGTH),
    REST("control byte first in a value", "X-Odd: \1b\r\n" LENGTH),
    REST("NUL first in a value", "X-Odd: \0b\r\n" LENGTH),
    REST("NUL in a value", "X-Odd: a\0b\r\n" LENGTH),
    REST("DEL in a value", "X-Odd: a\177\r\n" LENGTH),
    REST("CR in a value", "X-Odd: a\rb\r\n" LENGTH),
    REST("CR first in a value", "X-Odd:\rX-B: b\r\n" LENGTH),
    REST("CR alone ends the head", "Content-Length: 2\r\n\rXok"),
    REST("folded line", "X-Odd: a\r\n b\r\n" LENGTH),
    REST("folded line, nothing before", "X-Odd:\r\n b\r\n" LENGTH),
    REST("folded length", "Content-Length:\r\n 2\r\n\r\nok"),
    REST("blank in the name of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX Odd: v\r\n\r\n"),
    REST("blank after the name of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd : v\r\n\r\n"),
    REST("control byte in the name of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX\1Odd: v\r\n\r\n"),
    REST("control byte first in the value of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd: \1\r\n\r\n"),
    REST("CR in the value of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd:\rX\r\n\r\n"),
    REST("CR alone ends the trailer", CHUNKED "2\r\nok\r\n0\r\n\rX"),
    STATUS_LINE("blank in a name of an interim response",
                "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" OK),
    STATUS_LINE("control byte in a name of an interim response",
                "HTTP/1.1 100 Continue\r\nX\1Odd: v\r\n\r\n" OK),
    STATUS_LINE("control byte in a value of an interim response",
                "HTTP/1.1 100 Continue\r\nX-Odd: \1\r\n\r\n" OK),
    STATUS_LINE("blank in the first name", OK "X Odd: v\r\n"),
    STATUS_LINE("blank before the first name", OK " X-Odd: v\r\n"),
};
const broken_response_table broken_fields = TABLE(field_cases);

static const broken_response framing_cases[] = {
    REST("coding that was not asked for", "Transfer-Encoding: gzip\r\n\r\nok"),
    REST("another coding before chunks",
         "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("another coding after chunks",
         "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("another coding in a field of its own",
         "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n"),
    REST("chunked twice",
         "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n"),
    REST("coding of a similar name",
         "Transfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("coding with a parameter",
         "Transfer-Encoding: chunked;a=b\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("coding without a name", "Transfer-Encoding:\r\n\r\nok"),
    {"chunks of HTTP/1.0", PART("HTTP/1.0 200 OK\r\n"), PART(CHUNKS)},
    REST("length and chunks", "Content-Length: 2\r\n" CHUNKS),
    REST("chunks and length",
         "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n"),
    REST("length and another coding",
         "Content-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nok"),
    REST("no length in the field", "Content-Length:\r\n\r\nok"),
    REST("length with a sign", "Content-Length: +2\r\n\r\nok"),
    REST("negative length", "Content-Length: -2\r\n\r\nok"),
    REST("length in hexadecimal", "Content-Length: 0x2\r\n\r\nok"),
    REST("length with a fraction", "Content-Length: 2.0\r\n\r\nok"),
    REST("list of lengths", "Content-Length: 2, 2\r\n\r\nok"),
    REST("two numbers", "Content-Length: 2 2\r\n\r\nok"),
    REST("two lengths", "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok"),
    REST("length over 64 bits",
         "Content-Length: 18446744073709551618\r\n\r\nok"),
};
const broken_response_table broken_framing = TABLE(framing_cases);

static const broken_response chunk_cases[] = {
    REST("no line end after a chunk", CHUNKED "2\r\nokXX0\r\n\r\n"),
    REST("no CR after a chunk", CHUNKED "2\r\nok\n\n0\r\n\r\n"),
    REST("no LF after a chunk", CHUNKED "2\r\nok\rX0\r\n\r\n"),
    REST("chunk longer than its size", CHUNKED "2\r\nok0\r\n\r\n"),
    REST("chunk shorter than its size", CHUNKED "3\r\nok\r\n0\r\n\r\n"),
    REST("no LF after a size", CHUNKED "2\rXok\r\n0\r\n\r\n"),
    REST("no LF after the last size", CHUNKED "2\r\nok\r\n0\rX\r\n"),
    REST("LF alone after a size", CHUNKED "2\nok\r\n0\r\n\r\n"),
    REST("LF alone after the last size", CHUNKED "2\r\nok\r\n0\n\r\n"),
    REST("no size", CHUNKED "\r\nok\r\n0\r\n\r\n"),
    REST("extension without a size", CHUNKED ";a\r\nok\r\n0\r\n\r\n"),
    REST("blank before a size", CHUNKED " 2\r\nok\r\n0\r\n\r\n"),
    REST("size with a sign", CHUNKED "+2\r\nok\r\n0\r\n\r\n"),
    REST("negative size", CHUNKED "2\r\nok\r\n-0\r\n\r\n"),
    REST("size with a prefix", CHUNKED "0x2\r\nok\r\n0\r\n\r\n"),
    REST("size with a letter", CHUNKED "2g\r\nok\r\n0\r\n\r\n"),
    REST("two sizes", CHUNKED "2 2\r\nok\r\n0\r\n\r\n"),
    REST("text after a size", CHUNKED "2 x\r\nok\r\n0\r\n\r\n"),
    REST("size over 64 bits", CHUNKED "10000000000000002\r\nok\r\n0\r\n\r\n"),
    REST("control byte after a size", CHUNKED "2\1\r\nok\r\n0\r\n\r\n"),
    REST("control byte in an extension", CHUNKED "2;\1\r\nok\r\n0\r\n\r\n"),
    REST("NUL in an extension", CHUNKED "2;\0\r\nok\r\n0\r\n\r\n"),
    REST("LF in an extension", CHUNKED "2;a\nb\r\nok\r\n0\r\n\r\n"),
    REST("CR in an extension", CHUNKED "2;a\rbok\r\n0\r\n\r\n"),
    REST("control byte in the last extension",
         CHUNKED "2\r\nok\r\n0;\1\r\n\r\n"),
    REST("no last chunk", CHUNKED "2\r\nok\r\n"),
    REST("no empty line after the last chunk", CHUNKED "2\r\nok\r\n0\r\n"),
};
const broken_response_table broken_chunks = TABLE(chunk_cases);

static const broken_response valid_cases[] = {
    REST("length", LENGTH),
    REST("chunks", CHUNKS),
    REST("end of the connection", "\r\nok"),
    STATUS_LINE("no reason", "HTTP/1.1 200 \r\n"),
    STATUS_LINE("no blank after the status", "HTTP/1.1 200\r\n"),
    STATUS_LINE("text in the reason", "HTTP/1.1 200 Tr\xe8s\tbien\r\n"),
    STATUS_LINE("HTTP/1.0", "HTTP/1.0 200 OK\r\n"),
    STATUS_LINE("LF alone ends the line", "HTTP/1.1 200 OK\n"),
    STATUS_LINE("empty lines first", "\r\n\r\n" OK),
    STATUS_LINE("interim responses",
                "HTTP/1.1 100 Continue\r\n\r\n"
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK),
    {"LF alone ends each line", PART("HTTP/1.1 200 OK\n"),
     PART("Content-Length: 2\n\nok")},
    REST("each character of a name", "!#$%&'*+-.^_`|~09azAZ: v\r\n" LENGTH),
    REST("text in a value", "X-Text: \ta \xe4\xff\t\"{}\" \r\n" LENGTH),
    REST("empty value", "X-Empty:\r\n" LENGTH),
    REST("blanks only", "X-Blank: \t \r\n" LENGTH),
    REST("length in zeros", "Content-Length: 0002\r\n\r\nok"),
    REST("blanks about the length", "Content-Length:  2 \r\n\r\nok"),
    REST("coding in upper case",
         "Transfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("blanks about the coding",
         "Transfer-Encoding:  chunked \r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("size in upper case and zeros",
         CHUNKED "0000002\r\nok\r\n000\r\n\r\n"),
    REST("two chunks", CHUNKED "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
    REST("chunk extensions",
         CHUNKED "2;a=b;c=\"d e\"\r\nok\r\n0;last\r\n\r\n"),
    REST("blank before an extension", CHUNKED "2 ;a\r\nok\r\n0\r\n\r\n"),
    REST("blank after a size", CHUNKED "2 \r\nok\r\n0\r\n\r\n"),
    REST("trailer fields",
         CHUNKED "2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n"),
};
const broken_response_table valid_responses = TABLE(valid_cases);

const broken_response_table
    *const broken_response_tables[BROKEN_RESPONSE_TABLE_COUNT] = {
        &broken_status_lines, &broken_fields, &broken_framing, &broken_chunks};

/* Return one of the responses that are not valid, chosen by any number. */
const broken_response *
broken_response_get(uint64_t number)
{
    const broken_response_table *table =
        broken_response_tables[number % BROKEN_RESPONSE_TABLE_COUNT];
    return &table->cases[number / BROKEN_RESPONSE_TABLE_COUNT % table->count];
}

/* Send a part of a response; what the client no longer takes is dropped. */
static void
broken_response_send_part(int fd, const char *bytes, size_t length)
{
    (void)send(fd, bytes, length, MSG_NOSIGNAL);
}

/* Send a response, with the lines `fields` after its status line. */
void
broken_response_send(int fd, const broken_response *response,
                     const char *fields)
{
    broken_response_send_part(fd, response->start.bytes,
                              response->start.length);
    broken_response_send_part(fd, fields, strlen(fields));
    broken_response_send_part(fd, response->rest.bytes, response->rest.length);
}

/* Send `repeated`, of 1 to BROKEN_RESPONSE_PIECE_SIZE bytes, over and over until the client closes
 * the connection, or for BROKEN_RESPONSE_REPEAT_MAX_US; whether the client
 * closed it. */
bool
broken_response_repeat(int fd, const char *repeated)
{
    static const struct timeval limit = {1, 0};
    int64_t end_us = clock_now_us() + BROKEN_RESPONSE_REPEAT_MAX_US;
    char piece[BROKEN_RESPONSE_PIECE_SIZE];
    size_t unit = strlen(repeated);
    size_t length = unit == 0 ? 0 : sizeof(piece) / unit * unit;
    if (length == 0) {
        return false;
    }
    for (size_t at = 0; at < length; at++) {
        piece[at] = repeated[at % unit];
    }
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    size_t sent = 0;
    while (clock_now_us() < end_us) {
        ssize_t count = send(fd, piece + sent, length - sent, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK) {
            return true;
        }
        sent = count < 0 ? sent : (sent + (size_t)count) % length;
    }
    return false;
}
