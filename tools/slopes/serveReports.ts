// Answers every call with the JSON text in argv; the stand-in of a worker for measureRenewalCpu.
import http from 'node:http';

const [, , body = '{}'] = process.argv;
const server = http.createServer((request, response) => {
  request.resume().on('end', () => {
    response.setHeader('content-type', 'application/json');
    response.end(body);
  });
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as { port: number }).port}\n`);
});
process.stdin.resume().on('end', () => process.exit(0));
